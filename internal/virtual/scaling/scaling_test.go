package scaling

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestQuietDayCostsLessThanAFixedFleetAtEqualService(t *testing.T) {
	r := Compare(Defaults())
	must.Eq(t, 1, r[PolicyPlanner].InTime)
	must.Less(t, 0.35, r[PolicyPlanner].Relative)
	must.Less(t, 40, r[PolicyPlanner].Orders)
}

func TestBurstWhileADomainIsReclaimedAndDryIsServed(t *testing.T) {
	r := Compare(Trouble(time.Minute))
	must.GreaterEq(t, 0.99, r[PolicyPlanner].InTime)
	must.Less(t, r[PolicyThreshold].Price, r[PolicyPlanner].Price)
	must.Less(t, 0.4, r[PolicyPlanner].Relative)
}

func TestBurstsCauseNoFlapping(t *testing.T) {
	opts := Defaults()
	opts.Duration = 3 * time.Minute
	quiet := Compare(opts)[PolicyPlanner]
	for at := 60 * time.Second; at < opts.Duration; at += 6 * time.Second {
		opts.Bursts = append(opts.Bursts, Burst{At: at, For: 2 * time.Second, Factor: 1.7})
	}
	r := Compare(opts)[PolicyPlanner]
	must.Less(t, 30, r.Orders-quiet.Orders)
	must.Eq(t, 1, r.InTime)
}

func TestAllDomainsDryKeepTheSteadyEndpoints(t *testing.T) {
	opts := Defaults()
	for _, d := range opts.Domains {
		opts.Reclaims = append(opts.Reclaims, Reclaim{Domain: d, Dry: opts.Duration})
	}
	r := Compare(opts)[PolicyPlanner]
	must.Eq(t, 1, r.InTime)
	must.Greater(t, 2*opts.StartEach, r.Least)
}
