package peergrpc

import (
	"github.com/wigeonsail/wigeonsail/api/peer"
	"github.com/wigeonsail/wigeonsail/internal/core/fairshare"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

func accountWorkToWire(w fairshare.Work) *peer.AccountWork {
	return &peer.AccountWork{Pool: string(w.Pool), Account: string(w.Account), Work: w.Rate}
}

func accountWorkFromWire(w *peer.AccountWork) fairshare.Work {
	return fairshare.Work{Pool: model.PoolName(w.GetPool()), Account: model.AccountName(w.GetAccount()), Rate: w.GetWork()}
}
