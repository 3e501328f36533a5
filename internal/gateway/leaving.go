package gateway

import (
	"sync/atomic"
	"time"
)

// Departure describes the end of a host that leaves.
type Departure struct {
	// Began is when the host began to leave.
	Began time.Time
	// Linger is the time from then on in which new requests are expected.
	Linger time.Duration
	// End is when the requests in progress are ended.
	End time.Time
}

// departure is how this host leaves. It is safe for concurrent use.
type departure struct {
	// plan is nil until the host leaves, and if it leaves without a known end.
	plan atomic.Pointer[Departure]
}

// LeaveBy makes the host not ready, as Leave does, with a known end. Only the first call has
// an effect.
func (g *Gateway) LeaveBy(d Departure) {
	g.departure.plan.CompareAndSwap(nil, &d)
	g.Leave()
}

// addLeaving adds to a log line when the request arrived after the host began to leave, in
// milliseconds, below 0 for before, and whether its endpoint had finished.
func (x *exchange) addLeaving(f fields) fields {
	if plan := x.gateway.departure.plan.Load(); plan != nil {
		f["arrived_after_stop_ms"] = x.call.Arrived.Sub(plan.Began).Milliseconds()
		f["endpoint_finished"] = x.endpointFinished
	}
	return f
}
