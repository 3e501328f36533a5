package gateway

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// buildLog keeps the messages about builds, with the builds that they name.
type buildLog struct {
	mu    sync.Mutex
	lines []string
}

func (l *buildLog) HandleLog(e *log.Entry) error {
	if builds, ok := e.Fields["builds"].(string); ok {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.lines = append(l.lines, e.Message+": "+builds)
	}
	return nil
}

// take returns the messages since the last call.
func (l *buildLog) take() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	lines := l.lines
	l.lines = nil
	return lines
}

func TestOperatorsSeeHostsOfDifferentBuilds(t *testing.T) {
	first, second := model.Build{Commit: "a", Protocol: "1"}, model.Build{Commit: "b", Protocol: "2"}
	for _, c := range []struct {
		name  string
		other model.Build
		lines []string
	}{
		{"another build", second, []string{"peers: hosts run different builds: a/1, b/2"}},
		{"a build that states none", model.Build{}, []string{"peers: hosts run different builds: a/1, not stated"}},
		{"the same build", first, nil},
	} {
		synctest.Test(t, func(t *testing.T) {
			builds := map[string]model.Build{"h0": first, "h1": first, "h2": c.other}
			logged := &buildLog{}
			f := newVersionFleet(3)
			defer f.close()
			f.change = func(opts *Options) {
				opts.Build = builds[opts.PeerAddress]
				if opts.PeerAddress == "h0" {
					opts.Log = &log.Logger{Handler: logged}
				}
			}
			f.run()
			time.Sleep(2 * buildStatementTime)
			must.Eq(t, c.lines, logged.take(), must.Sprint(c.name))
			status, ok := f.gateways[0].PeerStatus(t.Context())
			must.True(t, ok)
			must.Eq(t, first, status.Build)
			for _, p := range status.Peers {
				stated := model.Build{}
				if p.Build != nil {
					stated = *p.Build
				}
				must.Eq(t, builds[p.Address], stated, must.Sprint(c.name, p.Address))
			}
			builds["h2"] = first
			f.kill(2)
			f.start(2)
			time.Sleep(2 * buildStatementTime)
			agree := logged.take()
			if c.lines == nil {
				must.SliceEmpty(t, agree)
				return
			}
			must.Eq(t, []string{"peers: all hosts run the same build: a/1"}, agree, must.Sprint(c.name))
		})
	}
}
