package readers_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/readers"
)

var now = time.Unix(1000, 0)

func peer(name string, heard, read time.Duration) readers.Peer {
	return readers.Peer{Host: model.HostID(name), Heard: now.Add(-heard), ReadAge: read}
}

func TestShouldRead(t *testing.T) {
	long := time.Minute
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
		{"third, one reader is turned away", "h3", []readers.Peer{peer("h1", 0, long), peer("h2", 0, 0)}, false},
		{"third, both readers are turned away", "h3", []readers.Peer{peer("h1", 0, long), peer("h2", 0, 2*time.Second)}, true},
		{"third, the others never read", "h3", []readers.Peer{peer("h1", 0, long), peer("h2", 0, long), peer("h4", 0, 0)}, false},
	}
	for _, c := range cases {
		must.Eq(t, c.want, readers.ShouldRead(now, model.HostID(c.self), c.peers), must.Sprint(c.name))
	}
}

func TestAgeIsThatOfTheNewestRead(t *testing.T) {
	peers := []readers.Peer{peer("h1", time.Second, 300*time.Millisecond), peer("h2", 0, 5*time.Second)}
	must.Eq(t, 1300*time.Millisecond, readers.Age(now, time.Minute, peers))
	must.Eq(t, time.Millisecond, readers.Age(now, time.Millisecond, peers))
}
