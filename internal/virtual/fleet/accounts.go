package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Burst multiplies the requests of one client account from From until Until.
type Burst struct {
	Account     int
	From, Until time.Duration
	Factor      float64
}

// AccountReport is the result of one client account.
type AccountReport struct {
	Offered, InTime, Refused int
}

// accountsSeed separates the choice of accounts from the other random choices.
const accountsSeed = 1 << 32

// withAccounts assigns the arrivals to accounts and adds those of bursts.
func (o *Options) withAccounts(all []arrival) []arrival {
	if o.Accounts == 0 {
		return all
	}
	rng := rand.New(rand.NewPCG(o.Seed, accountsSeed))
	var out []arrival
	for _, a := range all {
		a.account = rng.IntN(o.Accounts)
		out = append(out, a)
		for range o.copies(rng, a) {
			// The parts that are not shared differ between requests.
			again := a
			again.prompt.Parts = append([]model.Part(nil), a.prompt.Parts...)
			again.prompt.Parts[len(a.prompt.Parts)-1].ID ^= model.PartID(rng.Uint64() >> 16)
			again.host = rng.IntN(o.Hosts)
			out = append(out, again)
		}
	}
	return out
}

// copies returns the number of requests that bursts add to an arrival.
func (o *Options) copies(rng *rand.Rand, a arrival) int {
	for _, b := range o.Bursts {
		if a.account == b.Account && a.at >= b.From && a.at < b.Until {
			more := b.Factor - 1
			if rng.Float64() < more-float64(int(more)) {
				more++
			}
			return int(more)
		}
	}
	return 0
}

// accountName returns the name of the account of an arrival; empty for none.
func (o *Options) accountName(a *arrival) model.AccountName {
	if o.Accounts == 0 {
		return ""
	}
	return model.AccountName(fmt.Sprintf("account-%d", a.account))
}

// liveHost returns the host that a caller goes to at a time: the given one, or the next one
// that has not died.
func (f *Fleet) liveHost(host int, at time.Duration) int {
	for range f.hosts {
		if dies, known := f.opts.Deaths[host]; !known || at < dies {
			return host
		}
		host = (host + 1) % len(f.hosts)
	}
	return host
}

// isDead reports whether a host has died.
func (f *Fleet) isDead(h *host) bool {
	dies, known := f.opts.Deaths[h.index]
	return known && f.clock.Now().Sub(time.Unix(0, 0)) >= dies
}

// accountReports returns the results of all accounts.
func (f *Fleet) accountReports() []AccountReport {
	out := make([]AccountReport, f.opts.Accounts)
	if len(out) == 0 {
		return nil
	}
	for _, c := range f.calls {
		r := &out[c.account]
		r.Offered++
		switch {
		case c.refused:
			r.Refused++
		case !c.done.IsZero() && c.firstEvent.Sub(c.arrived) <= c.class.Target && c.maxGap <= c.class.MaxGap:
			r.InTime++
		}
	}
	return out
}
