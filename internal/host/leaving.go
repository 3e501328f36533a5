package host

import (
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// leavingEndpoints combines the three sources that can mark an endpoint as leaving:
// the platform's host list, the endpoint's own reports, and peers. Any one of them
// is sufficient.
type leavingEndpoints struct {
	listed   map[model.EndpointName]bool
	reported map[model.EndpointName]bool
	peers    []model.EndpointName
	// applied are the endpoints that the dispatcher regards as leaving.
	applied map[model.EndpointName]bool
}

func newLeavingEndpoints() leavingEndpoints {
	return leavingEndpoints{
		listed:   make(map[model.EndpointName]bool),
		reported: make(map[model.EndpointName]bool),
		applied:  make(map[model.EndpointName]bool),
	}
}

// locallyKnown returns the endpoints that are leaving according to this host's own
// sources, the list and reports. Information from peers is not included, since
// hosts that forwarded it to each other would keep it alive forever.
func (l *leavingEndpoints) locallyKnown() []model.EndpointName {
	var out []model.EndpointName
	for name, leaving := range l.reported {
		if leaving {
			out = append(out, name)
		}
	}
	for name, leaving := range l.listed {
		if leaving && !l.reported[name] {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// sources returns the names of the sources that mark the endpoint as leaving.
func (l *leavingEndpoints) sources(name model.EndpointName) []string {
	var out []string
	if l.reported[name] {
		out = append(out, "report")
	}
	if l.listed[name] {
		out = append(out, "list")
	}
	if slices.Contains(l.peers, name) {
		out = append(out, "peer")
	}
	return out
}

// reconcile applies all changes of leaving endpoints to the dispatcher. If one is
// newly leaving and peers have not reported it, it is broadcast to them.
func (l *leavingEndpoints) reconcile(now time.Time, c *control) {
	l.peers = c.members.LeavingEndpoints(now)
	wanted := make(map[model.EndpointName]bool)
	for _, name := range append(l.locallyKnown(), l.peers...) {
		wanted[name] = true
	}
	for name := range l.applied {
		if !wanted[name] {
			delete(l.applied, name)
			c.host.opts.Log.Infof("endpoints: %s is no longer leaving", name)
			c.deliver(c.dispatch.SetLeaving(now, name, false))
		}
	}
	unannounced := false
	for name := range wanted {
		if !l.applied[name] {
			unannounced = unannounced || !slices.Contains(l.peers, name)
			l.applied[name] = true
			c.observeDrain(name)
			c.host.opts.Log.Infof("endpoints: %s is leaving", name)
		}
		c.deliver(c.dispatch.SetLeaving(now, name, true))
	}
	if unannounced {
		c.broadcastUrgent(now)
	}
}

// setReported stores an endpoint's own report of whether it is leaving.
func (l *leavingEndpoints) setReported(now time.Time, c *control, name model.EndpointName, leaving bool) {
	if l.reported[name] == leaving {
		return
	}
	l.reported[name] = leaving
	if !leaving {
		delete(l.reported, name)
	}
	l.reconcile(now, c)
}
