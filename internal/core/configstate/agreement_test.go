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

// logModel is a model of a log with retention and the hosts that read it.
type logModel struct {
	t        *testing.T
	log      [][]byte
	earliest int
	hosts    []*State
	bodies   map[model.Version]string
	lowest   []model.Version
	ids      int
}

func (m *logModel) append(data []byte) { m.log = append(m.log, data) }

// publish appends a publication by one host, twice if its response is lost.
func (m *logModel) publish(r *rapid.T) {
	host := m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(r, "publisher")]
	m.ids++
	data := newRecord(m.t, fmt.Sprint("p", m.ids), host.Version())
	m.append(data)
	if rapid.Bool().Draw(r, "answer lost") {
		m.append(data)
	}
}

// carryForward appends a copy of a host's current version.
func (m *logModel) carryForward(r *rapid.T) {
	host := m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(r, "carrier")]
	if host.Current() != nil && host.Settled() {
		m.append(carriedRecord(m.t, host.Current(), host.Next()))
	}
}

// read lets one host apply the next records of the log.
func (m *logModel) read(r *rapid.T) {
	host := m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(r, "reader")]
	host.SkipTo(model.Offset(m.earliest))
	for range rapid.IntRange(1, 4).Draw(r, "records") {
		if int(host.Next()) < len(m.log) {
			host.Apply(host.Next(), m.log[host.Next()])
		}
	}
}

// adopt lets one host adopt the current version of another.
func (m *logModel) adopt(r *rapid.T) {
	from := m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(r, "from")]
	to := m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(r, "to")]
	if from.Current() != nil {
		_, err := to.Adopt(from.Current().Offset, from.Current().Data)
		must.NoError(m.t, err)
	}
}

// replaceHost replaces a host by one with empty state.
func (m *logModel) replaceHost(r *rapid.T) {
	i := rapid.IntRange(0, len(m.hosts)-1).Draw(r, "replaced")
	m.hosts[i] = &State{}
	m.lowest[i] = 0
}

// expire moves the earliest record that the log retains.
func (m *logModel) expire(r *rapid.T) {
	m.earliest = rapid.IntRange(m.earliest, len(m.log)).Draw(r, "earliest")
}

// check runs after every step. No host's version decreases, and hosts that
// accepted the same version have the same body.
func (m *logModel) check(r *rapid.T) {
	for i, host := range m.hosts {
		if host.Version() < m.lowest[i] {
			r.Fatalf("host %d went back from version %d to %d", i, m.lowest[i], host.Version())
		}
		m.lowest[i] = host.Version()
		for _, entry := range host.History() {
			if body, ok := m.bodies[entry.Version]; ok && body != entry.PublishID {
				r.Fatalf("version %d is both %s and %s", entry.Version, body, entry.PublishID)
			}
			m.bodies[entry.Version] = entry.PublishID
		}
	}
}

func TestHostsAgreeOnEveryVersion(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := &logModel{t: t, bodies: map[model.Version]string{}, lowest: make([]model.Version, 4)}
		for range m.lowest {
			m.hosts = append(m.hosts, &State{})
		}
		r.Repeat(map[string]func(*rapid.T){
			"publish": m.publish,
			"carry":   m.carryForward,
			"read":    m.read,
			"relay":   m.adopt,
			"replace": m.replaceHost,
			"forget":  m.expire,
			"":        m.check,
		})
	})
}
