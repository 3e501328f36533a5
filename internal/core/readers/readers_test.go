package readers_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/readers"
)

var now = time.Unix(1000, 0)

func peer(name string, digestAge, readAge time.Duration) readers.Peer {
	return readers.Peer{Host: model.HostID(name), LastSeen: now.Add(-digestAge), ReadAge: readAge, Reading: readAge < time.Minute}
}

func failingPeer(name string) readers.Peer {
	p := peer(name, 0, 0)
	p.Failing = true
	return p
}

func TestShouldRead(t *testing.T) {
	idle := time.Minute
	cases := []struct {
		name  string
		self  string
		peers []readers.Peer
		want  bool
	}{
		{"alone", "h5", nil, true},
		{"first", "h1", []readers.Peer{peer("h2", 0, 0), peer("h3", 0, 0)}, true},
		{"second", "h2", []readers.Peer{peer("h1", 0, 0), peer("h3", 0, 0)}, true},
		{"third", "h3", []readers.Peer{peer("h1", 0, 0), peer("h2", 0, 0)}, false},
		{"third, one reader is silent", "h3", []readers.Peer{peer("h1", 2*time.Second, 0), peer("h2", 0, 0)}, true},
		{"third, the reads of one reader fail", "h3", []readers.Peer{failingPeer("h1"), peer("h2", 0, 0)}, true},
		{"fourth, the reads of one reader fail", "h4", []readers.Peer{failingPeer("h1"), peer("h2", 0, 0), peer("h3", 0, 0)}, false},
		{"fourth, the reads of both readers fail", "h4", []readers.Peer{failingPeer("h1"), failingPeer("h2"), peer("h3", 0, 0)}, true},
		{"fifth, the reads of both readers fail", "h5", []readers.Peer{failingPeer("h1"), failingPeer("h2"), peer("h3", 0, 0), peer("h4", 0, 0)}, false},
		{"third, a reader hangs", "h3", []readers.Peer{peer("h1", 0, 1400*time.Millisecond), peer("h2", 0, 0)}, true},
		{"third, no host has started to read", "h3", []readers.Peer{peer("h1", 0, idle), peer("h2", 0, idle)}, true},
	}
	for _, c := range cases {
		must.Eq(t, c.want, readers.ShouldRead(now, model.HostID(c.self), "", c.peers), must.Sprint(c.name))
	}
}

// The loss of one failure domain must not end all reads of the store.
func TestReadersAreInDifferentFailureDomains(t *testing.T) {
	domains := map[string]model.DomainName{"h1": "a", "h2": "a", "h3": "b", "h4": "b", "h5": "c"}
	selected := func(hosts ...string) []string {
		var out []string
		for _, self := range hosts {
			var peers []readers.Peer
			for _, other := range hosts {
				if p := peer(other, 0, 0); other != self {
					p.Domain = domains[other]
					peers = append(peers, p)
				}
			}
			if readers.ShouldRead(now, model.HostID(self), domains[self], peers) {
				out = append(out, self)
			}
		}
		return out
	}
	must.Eq(t, []string{"h1", "h3"}, selected("h1", "h2", "h3", "h4", "h5"))
	must.Eq(t, []string{"h2", "h5"}, selected("h2", "h5"))
	must.Eq(t, []string{"h3", "h4"}, selected("h3", "h4"), must.Sprint("only one domain is left"))
}

// The store refuses the first readers' calls for seconds. The hosts must settle
// on two others and keep them, so that the list is read every second.
func TestReadersStabilizeDuringOutage(t *testing.T) {
	names := []string{"h1", "h2", "h3", "h4", "h5", "h6"}
	reading := map[string]bool{}
	changes := 0
	for range 50 {
		next := map[string]bool{}
		for _, self := range names {
			var peers []readers.Peer
			for _, other := range names {
				if other == self {
					continue
				}
				p := readers.Peer{Host: model.HostID(other), LastSeen: now, Reading: reading[other], Failing: other <= "h2"}
				if !reading[other] {
					p.ReadAge = time.Minute
				}
				peers = append(peers, p)
			}
			next[self] = readers.ShouldRead(now, model.HostID(self), "", peers)
			if next[self] != reading[self] {
				changes++
			}
		}
		reading = next
	}
	must.Eq(t, map[string]bool{"h1": true, "h2": true, "h3": true, "h4": true, "h5": false, "h6": false}, reading)
	must.LessEq(t, 12, changes)
}
