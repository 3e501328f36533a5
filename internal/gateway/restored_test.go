package gateway

import (
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// drill plays a drill of the store on a fleetModel: an endpoint joins, a copy is made, the
// entry of the endpoint is removed, and the store is away and comes back from the copy.
type drill struct {
	*fleetModel
	rng *rand.Rand
	// readAt are the times at which hosts that are no readers read the store by
	// themselves, as they do when they hear from no reader.
	readAt map[*modelHost]time.Time
	// behindSince is since when a host lacks changes.
	behindSince map[*modelHost]time.Time
	// deaf is a host that gets no digests; nil for none.
	deaf *modelHost
}

// drillEnd is what becomes of the endpoint between the copy and the restoration.
type drillEnd int

const (
	// endRemoved: its entry is removed, and it has ended.
	endRemoved drillEnd = iota
	// endDraining: it drains.
	endDraining
	// endDrainedAndRemoved: it drains, and its entry is removed.
	endDrainedAndRemoved
	// endLapsed: its entry is removed, but it lives and the store keeps the entry of the copy.
	endLapsed
	drillEnds
)

const (
	drillTick = 100 * time.Millisecond
	// drillReadInterval is the time between two reads of a reader.
	drillReadInterval = 500 * time.Millisecond
	// drilled is the endpoint that joins before the copy and is removed after it.
	drilled model.EndpointName = "drilled"
)

// newDrill returns a drill of hosts that know the endpoints, which publish at the start.
func newDrill(t *testing.T, seed uint64, hosts int) *drill {
	fail := func(format string, args ...any) { t.Fatalf("seed %d: "+format, append([]any{seed}, args...)...) }
	d := &drill{fleetModel: newPlannedModel(fail, hosts), rng: rand.New(rand.NewPCG(seed, 36)), readAt: make(map[*modelHost]time.Time), behindSince: make(map[*modelHost]time.Time)}
	for _, name := range []model.EndpointName{"a", "b"} {
		d.start(name)
	}
	return d
}

// start lets an endpoint start and publish.
func (d *drill) start(name model.EndpointName) {
	d.starts++
	d.publishEntry(directory.Entry{Name: name, Pool: "p", Address: string(name), Domain: "north", Started: d.starts})
}

// between returns a random duration.
func (d *drill) between(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(d.rng.Int64N(int64(longest-shortest)+1))
}

// setAway makes the store answer no host, or all again.
func (d *drill) setAway(away bool) {
	for _, h := range d.hosts {
		h.storeDown = away
	}
}

// run lets time pass in which readers read, all hosts exchange digests, some of which are
// late, and those that lack changes fetch the list from a random host that has them.
func (d *drill) run(duration time.Duration) {
	for range duration / drillTick {
		d.advance(drillTick)
		for i, h := range d.hosts {
			due := h.reading && d.now.Sub(at(time.Duration(i)*drillTick))%drillReadInterval < drillTick
			if at, planned := d.readAt[h]; planned && !d.now.Before(at) {
				due = true
				delete(d.readAt, h)
			}
			if due {
				d.readNow(h)
			}
			d.publish(h)
		}
		for _, h := range d.hosts {
			for h != d.deaf && len(h.mailbox) > 0 && d.rng.IntN(4) > 0 {
				d.deliver(h, d.rng.IntN(10) == 0)
			}
			d.fetchMissing(h)
			h.applyEndpointChanges(d.now, h.directory.Expire(d.now), sourceTimer)
		}
		d.check()
	}
}

// fetchMissing lets a host that lacked changes for listFetchDelay fetch the list.
func (d *drill) fetchMissing(h *modelHost) {
	if !h.lacksChanges() {
		delete(d.behindSince, h)
		return
	}
	since, behind := d.behindSince[h]
	if !behind {
		d.behindSince[h] = d.now
		return
	}
	if d.now.Sub(since) < listFetchDelay {
		return
	}
	for _, i := range d.rng.Perm(len(d.hosts)) {
		if from := d.hosts[i]; from.nextInList.IsAfter(h.nextInList) {
			d.fetchList(h, from)
			return
		}
	}
}

// end ends the endpoint.
func (d *drill) end(how drillEnd) {
	e := d.endpoints[drilled]
	if how == endDraining || how == endDrainedAndRemoved {
		e.Draining = true
		d.publishEntry(e)
		d.run(d.between(0, 400*time.Millisecond))
	}
	switch how {
	case endLapsed:
		d.lapsed[drilled] = true
		d.append(port.ListRecord{Name: drilled, Removed: true})
	case endRemoved, endDrainedAndRemoved:
		d.ended[model.Instance{Name: drilled, Started: e.Started}] = true
		delete(d.endpoints, drilled)
		d.append(port.ListRecord{Name: drilled, Removed: true})
	default:
	}
}

// play plays the drill. In every second one, a host gets no digests until the store is back.
func (d *drill) play(how drillEnd) {
	d.run(3 * time.Second)
	d.start(drilled)
	d.run(d.between(0, 500*time.Millisecond))
	copied := len(d.store.log)
	d.run(d.between(time.Second, 3*time.Second))
	if d.rng.IntN(2) == 0 {
		d.deaf = d.hosts[len(d.hosts)-1]
	}
	d.end(how)
	d.run(d.between(time.Second, 1600*time.Millisecond))
	d.setAway(true)
	d.run(d.between(600*time.Millisecond, time.Second))
	d.restoreTo(copied)
	d.setAway(false)
	d.deaf = nil
	for _, h := range d.hosts[2:] {
		if d.rng.IntN(2) == 0 {
			d.readAt[h] = d.now.Add(d.between(0, 3*time.Second))
		}
	}
	d.run(12 * time.Second)
}

// An endpoint drains or its entry is removed, and the store comes back from a copy that has
// it as ready. At any phase of the drill and whichever hosts read first: no host that has seen
// the end uses the endpoint again, and all hosts end with the store's list.
func TestEndsOutliveRestorationAtAnyPhase(t *testing.T) {
	const seeds = 200
	for seed := range uint64(seeds) {
		d := newDrill(t, seed, 6)
		d.play(drillEnd(seed % uint64(drillEnds)))
		want := d.storeList()
		for _, h := range d.hosts {
			if got := h.listEntries(); !maps.Equal(want, got) {
				d.fail("host %s has the list %v, the store has %v", h.gateway.opts.Host, got, want)
			}
		}
	}
}
