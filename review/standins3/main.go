//go:build review3

// The command review3-standins plays a case of the review: it starts stand-ins for the users'
// platform, their replicas and their clients, and gateways as processes with the command of the
// deploy file. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxPlay bounds a case, so that its processes end.
const maxPlay = 115 * time.Second

// environment is what a case runs in.
type environment struct {
	rec *recorder
	// dir is a temporary folder for the settings and logs of the processes.
	dir string
	// trouble reports whether the disruption is played.
	trouble bool
}

// cases are the cases by name. A case reports whether its rule was broken.
var cases = map[string]func(*environment) (bool, error){
	"unframed-ends":     playUnframedEnds,
	"blamed-part":       playBlamedPart,
	"bursts":            playBursts,
	"forgotten-crashes": playForgottenCrashes,
	"joined-versions":   playJoinedVersions,
	"reborn-behind-cut": playRebornBehindCut,
	"lost-quarantine":   playLostQuarantine,
}

func main() { os.Exit(play(os.Args[1:])) }

// abortLate ends the processes of the case and exits if the case lasts too long or is interrupted.
func abortLate(env *environment) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	select {
	case <-stop:
	case <-time.After(maxPlay):
	}
	killStarted()
	env.rec.printf("the case could not run: aborted")
	_ = os.RemoveAll(env.dir)
	os.Exit(2)
}

func play(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3-standins CASE RECORD")
		return 2
	}
	rec, err := newRecorder(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	env := &environment{rec: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	rec.printf("case %s, trouble %t", args[0], env.trouble)
	go abortLate(env)
	broken, err := cases[args[0]](env)
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		rec.printf("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	default:
		rec.printf("the rule held")
		fmt.Println("the rule held")
		return 0
	}
}
