package configstate

import (
	"fmt"
	"os"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/seedtest"
)

func TestMain(m *testing.M) {
	seedtest.SetFlags("2000", nil)
	os.Exit(m.Run())
}

// world is a log with retention and hosts that read it.
type world struct {
	t        *testing.T
	log      [][]byte
	earliest int
	hosts    []*State
	bodies   map[model.Version]string
	floors   []model.Version
	ids      int
}

func (w *world) append(data []byte) { w.log = append(w.log, data) }

func (w *world) publish(r *rapid.T) {
	host := w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(r, "publisher")]
	w.ids++
	data := record(w.t, fmt.Sprint("p", w.ids), host.Version())
	w.append(data)
	if rapid.Bool().Draw(r, "answer lost") {
		w.append(data)
	}
}

func (w *world) carry(r *rapid.T) {
	host := w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(r, "carrier")]
	if host.Current() != nil && host.Settled() {
		w.append(carried(w.t, host.Current(), host.Next()))
	}
}

// read lets one host follow the log for some records.
func (w *world) read(r *rapid.T) {
	host := w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(r, "reader")]
	host.SkipTo(model.Offset(w.earliest))
	for range rapid.IntRange(1, 4).Draw(r, "records") {
		if int(host.Next()) < len(w.log) {
			host.Apply(host.Next(), w.log[host.Next()])
		}
	}
}

func (w *world) relay(r *rapid.T) {
	from := w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(r, "from")]
	to := w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(r, "to")]
	if from.Current() != nil {
		_, err := to.Adopt(from.Current().Offset, from.Current().Data)
		must.NoError(w.t, err)
	}
}

func (w *world) replace(r *rapid.T) {
	i := rapid.IntRange(0, len(w.hosts)-1).Draw(r, "replaced")
	w.hosts[i] = &State{}
	w.floors[i] = 0
}

func (w *world) forget(r *rapid.T) {
	w.earliest = rapid.IntRange(w.earliest, len(w.log)).Draw(r, "earliest")
}

// check holds after every step: no host's version falls, and hosts that
// accepted the same version hold the same body.
func (w *world) check(r *rapid.T) {
	for i, host := range w.hosts {
		if host.Version() < w.floors[i] {
			r.Fatalf("host %d fell from version %d to %d", i, w.floors[i], host.Version())
		}
		w.floors[i] = host.Version()
		for _, entry := range host.History() {
			if body, ok := w.bodies[entry.Version]; ok && body != entry.PublishID {
				r.Fatalf("version %d is both %s and %s", entry.Version, body, entry.PublishID)
			}
			w.bodies[entry.Version] = entry.PublishID
		}
	}
}

func TestHostsAgreeOnEveryVersion(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := &world{t: t, bodies: map[model.Version]string{}, floors: make([]model.Version, 4)}
		for range w.floors {
			w.hosts = append(w.hosts, &State{})
		}
		r.Repeat(map[string]func(*rapid.T){
			"publish": w.publish,
			"carry":   w.carry,
			"read":    w.read,
			"relay":   w.relay,
			"replace": w.replace,
			"forget":  w.forget,
			"":        w.check,
		})
	})
}
