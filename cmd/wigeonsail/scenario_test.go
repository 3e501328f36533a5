package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/lockedfile"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/shoenig/test/must"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"wigeonsail": main,
	})
}

// TestScenarios runs one at a time on a machine, since scenarios listen on
// fixed addresses.
func TestScenarios(t *testing.T) {
	lock := lockedfile.MutexAt(filepath.Join(os.TempDir(), "wigeonsail-scenarios.lock"))
	unlock, err := lock.Lock()
	must.NoError(t, err)
	t.Cleanup(unlock)
	testscript.Run(t, testscript.Params{
		Dir:  "../../scenarios",
		Cmds: scenarioCommands,
		Setup: func(env *testscript.Env) error {
			env.Setenv("HOME", os.TempDir())
			return nil
		},
	})
}
