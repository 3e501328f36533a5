package freshness

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func at(seconds int) time.Time { return time.Unix(1000+int64(seconds), 0) }

func TestClaimsAboutOlderAndEqualVersionsConfirm(t *testing.T) {
	var s State
	s.SetVersion(5)
	must.True(t, s.ConfirmedAt().IsZero())
	s.Learn(Claim{Version: 5, At: at(1)})
	must.Eq(t, at(1), s.ConfirmedAt())
	s.Learn(Claim{Version: 3, At: at(2)})
	must.Eq(t, at(2), s.ConfirmedAt())
	s.Learn(Claim{Version: 5, At: at(1)})
	must.Eq(t, at(2), s.ConfirmedAt(), must.Sprint("an older claim arrives late"))
}

func TestClaimAboutHigherVersionCountsOnceItIsInForce(t *testing.T) {
	var s State
	s.SetVersion(5)
	s.Learn(Claim{Version: 5, At: at(1)})
	s.Learn(Claim{Version: 6, At: at(3)})
	s.Learn(Claim{Version: 6, At: at(2)})
	must.Eq(t, at(1), s.ConfirmedAt())
	s.SetVersion(6)
	must.Eq(t, at(3), s.ConfirmedAt())
	s.SetVersion(4)
	s.Learn(Claim{Version: 6, At: at(4)})
	must.Eq(t, at(4), s.ConfirmedAt(), must.Sprint("the version does not fall"))
}

func TestClaimWithoutVersionConfirmsNothing(t *testing.T) {
	var s State
	s.Learn(Claim{At: at(1)})
	must.True(t, s.ConfirmedAt().IsZero())
}
