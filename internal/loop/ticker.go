package loop

import "time"

// ticker ticks like a time.Ticker for one goroutine, through a channel that is not a timer's.
// The runtime runs a timer whose channel is polled when it is due on the polling thread, and
// two such threads in one synctest bubble crash the race detector.
type ticker struct {
	// ticks holds a tick until it is received. The next one is scheduled only then.
	ticks <-chan struct{}
	timer *time.Timer
	every time.Duration
	due   time.Time
}

// newTicker returns a ticker whose first tick comes after the interval every.
func newTicker(every time.Duration) *ticker {
	ticks := make(chan struct{}, 1)
	return &ticker{
		ticks: ticks,
		timer: time.AfterFunc(every, func() { ticks <- struct{}{} }),
		every: every,
		due:   time.Now().Add(every),
	}
}

// scheduleNext schedules the tick after the one received at now. Ticks that are overdue by an
// interval or more are left out.
func (t *ticker) scheduleNext(now time.Time) {
	overdue := now.Sub(t.due)
	t.due = t.due.Add(t.every * (1 + overdue/t.every))
	t.timer.Reset(t.due.Sub(now))
}

// stop ends the ticks.
func (t *ticker) stop() { t.timer.Stop() }
