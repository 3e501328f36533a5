package peergrpc

import (
	"time"

	"github.com/wigeonsail/wigeonsail/api/peer"
	"github.com/wigeonsail/wigeonsail/internal/core/capacity"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/usage"
)

func clockToWire(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}

func clockFromWire(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

func usageToWire(r usage.Record) *peer.UsageRecord {
	out := &peer.UsageRecord{Host: string(r.Source.Host), Incarnation: uint64(r.Source.Incarnation), Window: int64(r.Window)}
	for account, count := range r.Counts {
		out.Counts = append(out.Counts, &peer.AccountCount{Account: string(account), Count: count})
	}
	return out
}

func usageFromWire(r *peer.UsageRecord) usage.Record {
	out := usage.Record{
		Source: usage.Source{Host: model.HostID(r.GetHost()), Incarnation: model.Incarnation(r.GetIncarnation())},
		Window: usage.Window(r.GetWindow()), Counts: make(usage.Counts, len(r.GetCounts())),
	}
	for _, c := range r.GetCounts() {
		out.Counts[model.AccountName(c.GetAccount())] = c.GetCount()
	}
	return out
}

func poolDemandToWire(d capacity.Demand) *peer.PoolDemand {
	return &peer.PoolDemand{
		Pool: string(d.Pool), Domain: string(d.Domain), Requests: d.Requests, Refused: d.Refused,
		PromptTokens: d.PromptTokens, OutputTokens: d.OutputTokens,
	}
}

func poolDemandFromWire(d *peer.PoolDemand) capacity.Demand {
	return capacity.Demand{
		Pool: model.PoolName(d.GetPool()), Domain: model.DomainName(d.GetDomain()), Requests: d.GetRequests(), Refused: d.GetRefused(),
		PromptTokens: d.GetPromptTokens(), OutputTokens: d.GetOutputTokens(),
	}
}
