package logging

import (
	"bytes"
	"errors"
	"regexp"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/settings"
)

var textLine = regexp.MustCompile(`^\d{4}-\d\d-\d\dT\S+ WARN  peers: forward failed error="no\\nanswer" request=r1\n$`)

func TestText(t *testing.T) {
	var out bytes.Buffer
	must.NoError(t, Setup(&out, settings.Log{Level: "info", Format: "text"}))
	peers := For("peers")
	peers.Debug("not shown")
	peers.With("request", "r1").WithError(errors.New("no\nanswer")).Warn("forward failed")
	must.RegexMatch(t, textLine, out.String())
}

func TestJSON(t *testing.T) {
	var out bytes.Buffer
	must.NoError(t, Setup(&out, settings.Log{Level: "debug", Format: "json"}))
	For("host").With("domain", "north").Debug("started")
	must.StrContains(t, out.String(), `"message":"host: started"`)
	must.StrContains(t, out.String(), `"domain":"north"`)
}

func TestSetupRejectsInvalidSettings(t *testing.T) {
	must.EqError(t, Setup(nil, settings.Log{Level: "loud", Format: "text"}), `unknown log level "loud"`)
	must.EqError(t, Setup(nil, settings.Log{Level: "info", Format: "xml"}), `unknown log format "xml"`)
}

// SIGHUP changes the level while other goroutines log. The race detector must not
// find a race.
func TestSetLevelDuringConcurrentLogging(t *testing.T) {
	var out bytes.Buffer
	must.NoError(t, Setup(&out, settings.Log{Level: "error", Format: "json"}))
	var loggers sync.WaitGroup
	for range 4 {
		loggers.Go(func() {
			for range 200 {
				For("peers").Info("not shown")
			}
		})
	}
	for range 100 {
		must.NoError(t, SetLevel("warn"))
	}
	loggers.Wait()
	must.Eq(t, 0, out.Len())
	must.NoError(t, SetLevel("info"))
	For("peers").Info("shown")
	must.StrContains(t, out.String(), "shown")
	must.EqError(t, SetLevel("loud"), `unknown log level "loud"`)
}
