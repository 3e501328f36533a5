package host

import (
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// leavingEndpoints joins what the platform's list, the endpoints' own reports
// and the peers say of leaving endpoints. Any of them is enough.
type leavingEndpoints struct {
	listed   map[model.EndpointName]bool
	reported map[model.EndpointName]bool
	peers    []model.EndpointName
	// applied is what the dispatcher was told.
	applied map[model.EndpointName]bool
}

func newLeavingEndpoints() leavingEndpoints {
	return leavingEndpoints{
		listed:   make(map[model.EndpointName]bool),
		reported: make(map[model.EndpointName]bool),
		applied:  make(map[model.EndpointName]bool),
	}
}

// firstHand are the endpoints that this host itself knows to be leaving. What
// peers say is not passed on, else it would go round for ever.
func (l *leavingEndpoints) firstHand() []model.EndpointName {
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

// sources names who says that the endpoint leaves.
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

// restore tells the dispatcher what has changed.
func (l *leavingEndpoints) restore(now time.Time, c *control) {
	l.peers = c.members.LeavingEndpoints(now)
	wanted := make(map[model.EndpointName]bool)
	for _, name := range append(l.firstHand(), l.peers...) {
		wanted[name] = true
	}
	for name := range l.applied {
		if !wanted[name] {
			delete(l.applied, name)
			c.host.opts.Log.Infof("endpoints: %s is back", name)
			c.carryOut(c.dispatch.SetLeaving(now, name, false))
		}
	}
	first := false
	for name := range wanted {
		if !l.applied[name] {
			first = first || !slices.Contains(l.peers, name)
			l.applied[name] = true
			c.observeDrain(name)
			c.host.opts.Log.Infof("endpoints: %s is leaving", name)
		}
		c.carryOut(c.dispatch.SetLeaving(now, name, true))
	}
	if first {
		c.tellUrgently(now)
	}
}

// report takes an endpoint's own report.
func (l *leavingEndpoints) report(now time.Time, c *control, name model.EndpointName, leaving bool) {
	if l.reported[name] == leaving {
		return
	}
	l.reported[name] = leaving
	if !leaving {
		delete(l.reported, name)
	}
	l.restore(now, c)
}
