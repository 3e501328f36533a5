package gateway

import (
	"context"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/usage"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

const (
	// usageInterval is the minimum time between two digests with counts to the same hosts.
	// What a host has counted within it is lost when it dies.
	usageInterval = 300 * time.Millisecond
	// usageRefresh is the time between digests with all counts of recent windows, for hosts
	// that have missed some. It is less than the time after which a window is reported.
	usageRefresh = 2 * time.Second
	// clockInterval is the time between corrections of the clock.
	clockInterval = 500 * time.Millisecond
	// reportRetry is the delay before a report is sent again.
	reportRetry = 400 * time.Millisecond
)

// usageReporter counts the requests that begin to run, exchanges the counts with the other
// hosts and, on the holder of the duties, reports them. The control loop owns it. A nil
// *usageReporter counts nothing.
type usageReporter struct {
	control *control
	opts    *Duties
	windows usage.Windows
	table   *usage.Table
	clock   *usage.Clock
	self    usage.Source
	// direct and remote are the states of the digests with this host's counts to direct
	// peers, and of those of a relay with the sums of its domain.
	direct, remote usageCursor
	// counted is the last change of the counts by this host itself.
	counted     int64
	correctedAt time.Time
	// reported are the windows of which the platform has taken a report by this host.
	// sending is true while a report is being sent, retryAt when to send the next one.
	reported map[usage.Window]bool
	sending  bool
	retryAt  time.Time
	// checkedWindow is the last window of which it was checked whether it is left out.
	checkedWindow usage.Window
}

// usageCursor is the state of the digests with counts to a group of peers.
type usageCursor struct {
	// change is the last change of the counts that was sent.
	change              int64
	sentAt, refreshedAt time.Time
}

// newUsageReporter returns the reporter of a host, nil if no usage is to be reported.
func newUsageReporter(c *control) *usageReporter {
	opts := c.gateway.opts.Duties
	if !opts.has(port.DutyUsage) {
		return nil
	}
	windows := usage.Windows{Length: opts.UsageWindow, Due: opts.UsageDue}
	return &usageReporter{
		control: c, opts: opts, windows: windows,
		table:         usage.NewTable(),
		clock:         usage.NewClock(opts.Steady(), opts.Wall()),
		self:          usage.Source{Host: c.gateway.opts.Host, Incarnation: c.gateway.opts.Incarnation},
		reported:      make(map[usage.Window]bool),
		checkedWindow: windows.Of(opts.Wall()) - 1,
	}
}

// trueTime returns the estimate of the true time now.
func (u *usageReporter) trueTime() time.Time { return u.clock.At(u.opts.Steady()) }

// countBegin counts a request of the exchange's account that has begun to run, once, also
// if it failed then. A stream that goes on after a lost connection to the caller began
// before.
func (x *exchange) countBegin() {
	u := x.gateway.control.usage
	if u == nil || x.counted || x.account == "" || x.call.LastEventID != "" {
		return
	}
	x.counted = true
	account, at := x.account, u.opts.Steady()
	x.gateway.loop.Post(loop.Func(func(time.Time) { u.add(at, account) }))
}

// add counts a request that has begun at a time of the steady clock.
func (u *usageReporter) add(steady time.Time, account model.AccountName) {
	u.table.Add(u.self, u.control.gateway.opts.Domain, u.windows.Of(u.clock.At(steady)), account)
	u.counted = u.table.Changes()
}

// isDue reports whether this host has counted requests that its direct peers should learn
// of now.
func (u *usageReporter) isDue(now time.Time) bool {
	return u != nil && u.counted > u.direct.change && now.Sub(u.direct.sentAt) >= usageInterval
}

// fill adds the clock to a digest.
func (u *usageReporter) fill(d *port.LoadDigest) {
	if u != nil {
		d.Clock = u.trueTime()
	}
}

// receive applies the clock and the counts in a digest. A host sends its own counts, and a
// relay the sums of its failure domain.
func (u *usageReporter) receive(d port.LoadDigest) {
	if u == nil {
		return
	}
	steady := u.opts.Steady()
	u.clock.ObservePeer(steady, string(d.Host), d.Clock)
	now := u.clock.At(steady)
	for _, rec := range d.Usage {
		if rec.Window >= u.windows.Oldest(now) && rec.Window <= u.windows.Of(now)+1 {
			u.table.Merge(d.Domain, rec)
		}
	}
}

// takeDirect returns the counts of this host to send to its direct peers now, if any.
func (u *usageReporter) takeDirect(now time.Time) []usage.Record {
	if u == nil {
		return nil
	}
	return u.direct.take(now, u, func(from usage.Window, change int64) []usage.Record {
		return u.table.ChangedSince(u.self, from, change)
	})
}

// takeRemote returns the sums of the local failure domain to send to other ones now, if any.
func (u *usageReporter) takeRemote(now time.Time) []usage.Record {
	if u == nil {
		return nil
	}
	return u.remote.take(now, u, func(from usage.Window, change int64) []usage.Record {
		return u.table.DomainChangedSince(u.control.gateway.opts.Domain, from, change)
	})
}

// take returns the counts that changed since the last digest, and at times all of recent
// windows.
func (c *usageCursor) take(now time.Time, u *usageReporter, changed func(from usage.Window, change int64) []usage.Record) []usage.Record {
	if now.Sub(c.sentAt) < usageInterval {
		return nil
	}
	at := u.trueTime()
	records := changed(u.windows.Oldest(at), c.change)
	if now.Sub(c.refreshedAt) >= usageRefresh {
		c.refreshedAt = now
		records = usage.MergeRecords(records, changed(u.windows.Of(at.Add(-2*usageRefresh)), 0))
	}
	c.sentAt, c.change = now, u.table.Changes()
	return records
}

// tick corrects the clock and, while this host holds the duties, reports the windows that
// are due.
func (u *usageReporter) tick(now time.Time) {
	if u == nil {
		return
	}
	steady := u.opts.Steady()
	if steady.Sub(u.correctedAt) >= clockInterval {
		u.correctedAt = steady
		if off := u.clock.Correct(steady, u.opts.Wall()); off != 0 {
			u.control.gateway.opts.Log.WithField("by_ms", off.Milliseconds()).Warn("usage: clock corrected to that of most hosts")
		}
		u.forget(u.windows.Oldest(u.clock.At(steady)))
	}
	if holder, ok := u.control.duties.holder(now); ok {
		u.report(holder)
	}
}

// forget drops windows that are not reported any more.
func (u *usageReporter) forget(before usage.Window) {
	u.table.Forget(before)
	u.control.duties.keeper.ForgetReports(before)
	for window := range u.reported {
		if window < before {
			delete(u.reported, window)
		}
	}
}

// report fixes the counts of the next window, or sends them if they are fixed.
func (u *usageReporter) report(holder port.DutyHolder) {
	k := u.control.duties
	if u.sending || k.appending || !k.caughtUp || u.opts.Steady().Before(u.retryAt) {
		return
	}
	window, ok := u.windows.NextReport(u.trueTime(), u.knowledge())
	if !ok {
		u.logLeftOut()
		return
	}
	if counts, fixed := k.keeper.Report(window); fixed {
		u.send(holder, usage.Report{Window: window, Counts: counts})
		return
	}
	report := usage.Report{Window: window, Counts: u.table.Total(window)}
	if rec, ok := k.keeper.PrepareReport(u.opts.Steady(), report, window-1); ok {
		k.append(rec)
	}
}

// logLeftOut logs the windows since this host's start that no host reports. It is called
// while no report is due.
func (u *usageReporter) logLeftOut() {
	at, knowledge := u.trueTime(), u.knowledge()
	for window := max(u.checkedWindow+1, u.windows.Oldest(at)); u.windows.IsSettled(at, window); window++ {
		u.checkedWindow = window
		if u.windows.IsLeftOut(window, knowledge) {
			u.control.gateway.opts.Log.WithField("window", window).Warn("usage: window left out, another report of it may have been sent")
		}
	}
}

// knowledge returns what this host knows of earlier reports.
func (u *usageReporter) knowledge() usage.Knowledge {
	k := u.control.duties.keeper
	lost, covered, isCovered := k.LostBefore()
	return usage.Knowledge{
		LostAt: u.clock.At(lost), Covered: covered, IsCovered: isCovered,
		IsFixed: func(w usage.Window) bool { _, fixed := k.Report(w); return fixed },
		IsReported: func(w usage.Window) bool {
			return u.reported[w] || w <= k.Done()
		},
	}
}

// send sends a report whose counts are fixed.
func (u *usageReporter) send(holder port.DutyHolder, report usage.Report) {
	u.sending = true
	client := u.opts.Client
	u.control.duties.call(holder, port.DutyUsage, func(ctx context.Context) error {
		return client.ReportUsage(ctx, holder, report)
	}, func(now time.Time, err error) {
		u.sending = false
		u.control.duties.checkSoon(now)
		if err != nil {
			u.retryAt = u.opts.Steady().Add(reportRetry)
			u.control.gateway.opts.Log.WithError(err).WithField("window", report.Window).Warn("usage: report failed")
			return
		}
		u.reported[report.Window] = true
		late := u.trueTime().Sub(u.windows.End(report.Window))
		u.control.gateway.opts.Metrics.SetUsageReportAge(late)
		logUsageReported(u.control.gateway.opts.Log, report, holder, late)
	})
}

// DutyStatus is what a host knows of the duties.
type DutyStatus struct {
	// Holder is the last known holder and Fence its fencing number. Only hosts that may
	// hold the duties know it.
	Holder model.HostID `json:"holder"`
	Fence  model.Offset `json:"fence"`
	// Holds reports whether this host holds the duties, Following whether it may claim them.
	Holds     bool `json:"holds"`
	Following bool `json:"following"`
	// ReportedWindow is the last window with an answered report, by this host or before it;
	// 0 for none. ClockOff is by how much the wall clock differs from the time by which
	// windows are counted, in seconds.
	ReportedWindow usage.Window `json:"reported_window"`
	ClockOff       float64      `json:"clock_off_s"`
}

// status returns what this host knows of the duties, nil if there are none.
func (k *dutyKeeper) status() *DutyStatus {
	if k == nil {
		return nil
	}
	out := &DutyStatus{Following: k.following.Load(), ReportedWindow: k.keeper.Done()}
	out.Holder, out.Fence = k.keeper.Holder()
	_, out.Holds = k.keeper.Fence(k.opts.Steady())
	if u := k.control.usage; u != nil {
		out.ClockOff = k.opts.Wall().Sub(u.trueTime()).Seconds()
		for window := range u.reported {
			out.ReportedWindow = max(out.ReportedWindow, window)
		}
	}
	return out
}
