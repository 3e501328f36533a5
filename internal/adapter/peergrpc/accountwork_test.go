package peergrpc

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/fairshare"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

func TestDigestRoundTripsAccountWork(t *testing.T) {
	want := []fairshare.Work{{Pool: "engines", Account: "north", Rate: 12.5}, {Pool: "engines", Rate: 3}}
	got := loadDigestFromWire(loadDigestToWire(port.LoadDigest{AccountWork: want}))
	must.Eq(t, want, got.AccountWork)
}
