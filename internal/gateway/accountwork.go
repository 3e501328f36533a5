package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/fairshare"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// The work that client accounts request, as hosts exchange it:
//
//  1. A host sends the work of its own callers to its direct peers.
//  2. A relay sends the sum of its failure domain to the relays of the others, and the sum of
//     the fleet to the hosts of its own.
//  3. Nothing is sent while no account requests anything.

const (
	// accountWorkInterval is the time between two digests with the work of accounts.
	accountWorkInterval = 250 * time.Millisecond
	// accountLogInterval is the time between two reviews of the accounts above their
	// share, and maxAccountLines the largest number of lines that one logs.
	accountLogInterval = 5 * time.Second
	maxAccountLines    = 8
)

// accountWork decides when the work of accounts is sent, and logs the accounts that are
// treated as above their share. The control loop owns it.
type accountWork struct {
	book *fairshare.Book
	// directSentAt, localSentAt and remoteSentAt are when it was last sent to direct peers,
	// and as a relay to the local failure domain and to others.
	directSentAt, localSentAt, remoteSentAt time.Time
	expiredAt                               time.Time
	// above are the requests that were treated as above the share since loggedAt.
	above    map[accountAtPool]*aboveShare
	loggedAt time.Time
}

type accountAtPool struct {
	pool    model.PoolName
	account model.AccountName
}

// aboveShare is the last standing of an account above its share, and the numbers of its
// requests that came behind others or were refused.
type aboveShare struct {
	standing          fairshare.Standing
	deferred, refused int
}

func newAccountWork(book *fairshare.Book) *accountWork {
	return &accountWork{book: book, above: make(map[accountAtPool]*aboveShare)}
}

// isWorkDue reports whether work is to be sent again, and notes that it is.
func isWorkDue(now time.Time, sentAt *time.Time) bool {
	if now.Sub(*sentAt) < accountWorkInterval {
		return false
	}
	*sentAt = now
	return true
}

// direct returns the work of this host for its direct peers.
func (a *accountWork) direct(now time.Time) []fairshare.Work {
	if !isWorkDue(now, &a.directSentAt) {
		return nil
	}
	return a.book.OwnWork(now)
}

// local returns the work of the fleet for the hosts of the local failure domain.
func (a *accountWork) local(now time.Time) []fairshare.Work {
	if !isWorkDue(now, &a.localSentAt) {
		return nil
	}
	return a.book.FleetWork(now)
}

// remote returns the work of the local failure domain for hosts of others.
func (a *accountWork) remote(now time.Time, own model.DomainName) []fairshare.Work {
	if !isWorkDue(now, &a.remoteSentAt) {
		return nil
	}
	return a.book.DomainWork(now, own)
}

// receive records the work in a digest. own is this host's failure domain.
func (a *accountWork) receive(now time.Time, d port.LoadDigest, own model.DomainName) {
	switch {
	case len(d.AccountWork) == 0:
	case !d.ViaRelay:
		a.book.ReceiveHost(now, d.Host, d.Domain, d.AccountWork)
	case d.Domain == own:
		a.book.ReceiveFleet(now, d.AccountWork)
	default:
		a.book.ReceiveDomain(now, d.Domain, d.AccountWork)
	}
}

// mergeAccountWork returns the work of the digests that the merged one may contain: work
// that is sent through relays is not that of the sender alone.
func mergeAccountWork(older, newer port.LoadDigest, viaRelay bool) []fairshare.Work {
	if newer.ViaRelay == viaRelay && len(newer.AccountWork) > 0 {
		return newer.AccountWork
	}
	if older.ViaRelay == viaRelay {
		return older.AccountWork
	}
	return nil
}

// tick drops outdated work and logs the accounts above their share.
func (a *accountWork) tick(now time.Time, c *control) {
	if now.Sub(a.expiredAt) >= time.Second {
		a.expiredAt = now
		a.book.Expire(now)
	}
	if now.Sub(a.loggedAt) < accountLogInterval || len(a.above) == 0 {
		return
	}
	a.loggedAt = now
	accounts := make([]accountAtPool, 0, len(a.above))
	for account := range a.above {
		accounts = append(accounts, account)
	}
	slices.SortFunc(accounts, func(x, y accountAtPool) int {
		return cmp.Or(cmp.Compare(a.above[y].standing.Use, a.above[x].standing.Use), cmp.Compare(x.account, y.account), cmp.Compare(x.pool, y.pool))
	})
	for _, account := range accounts[:min(len(accounts), maxAccountLines)] {
		above := a.above[account]
		c.gateway.opts.Log.WithFields(fields{
			"pool": account.pool, "account": account.account, "use": above.standing.Use, "share": above.standing.Share,
			"deferred": above.deferred, "refused": above.refused,
		}).Info("accounts: above its share")
	}
	clear(a.above)
}

// recordDecision counts a request that was treated as above its account's share.
func (c *control) recordDecision(pool model.PoolName, account model.AccountName, standing fairshare.Standing, refused bool) {
	if standing == (fairshare.Standing{}) {
		return
	}
	key := accountAtPool{pool: pool, account: account}
	above := c.accounts.above[key]
	if above == nil {
		above = new(aboveShare)
		c.accounts.above[key] = above
	}
	above.standing = standing
	if refused {
		above.refused++
	} else {
		above.deferred++
	}
	c.gateway.opts.Metrics.AboveShare(pool, refused)
}

// AccountView is an account that is above its share of a pool. Use and Share are in
// milliseconds of engine time per second.
type AccountView struct {
	Pool    model.PoolName    `json:"pool"`
	Account model.AccountName `json:"account"`
	Use     float64           `json:"use"`
	Share   float64           `json:"share"`
}

// views returns the accounts above their share.
func (a *accountWork) views(now time.Time) []AccountView {
	var out []AccountView
	for pool, accounts := range a.book.AboveShare(now) {
		for account, s := range accounts {
			out = append(out, AccountView{Pool: pool, Account: account, Use: s.Use, Share: s.Share})
		}
	}
	slices.SortFunc(out, func(x, y AccountView) int {
		return cmp.Or(cmp.Compare(x.Pool, y.Pool), cmp.Compare(y.Use, x.Use), cmp.Compare(x.Account, y.Account))
	})
	return out
}
