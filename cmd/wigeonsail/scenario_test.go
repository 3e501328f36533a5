package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/lockedfile"
	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"wigeonsail": main,
	})
}

// TestScenarios runs each scenario at most once at a time on a machine, since each
// listens on its own fixed addresses.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:  "../../scenarios",
		Cmds: scenarioCommands,
		Setup: func(env *testscript.Env) error {
			env.Setenv("HOME", os.TempDir())
			name := "wigeonsail-" + filepath.Base(env.WorkDir) + ".lock"
			unlock, err := lockedfile.MutexAt(filepath.Join(os.TempDir(), name)).Lock()
			if err != nil {
				return err
			}
			env.Defer(unlock)
			return nil
		},
	})
}
