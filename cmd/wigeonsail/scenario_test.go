package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"wigeonsail": main,
	})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:  "../../scenarios",
		Cmds: scenarioCommands,
		Setup: func(env *testscript.Env) error {
			env.Setenv("HOME", os.TempDir())
			return nil
		},
	})
}
