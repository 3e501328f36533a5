// Command standins2 holds the stand-ins of the cases 6 to 10 of the second review, and plays
// these cases.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(w *world) (held bool, err error){
	"flap":     playFlap,
	"frozen":   playFrozen,
	"moves":    playMoves,
	"versions": playVersions,
}

func main() {
	args := os.Args[1:]
	if len(args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standins2 store|replica|CASE ...")
		os.Exit(exitFailed)
	}
	var err error
	switch args[0] {
	case "store":
		err = http.ListenAndServe(args[1], newStore())
	case "moving-replica":
		err = serveMovingReplica(args[1:])
	case "replica":
		err = serveReplica(args[1:])
	default:
		os.Exit(playCase(args[0], args[1]))
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(exitFailed)
}

// serveReplica serves a replica with the options ID SERVICE ZONE VERSION LISTEN STORE SLOTS
// EVENTS GAP.
func serveReplica(args []string) error {
	if len(args) != 9 {
		return errors.New("replica takes 9 arguments")
	}
	slots, err1 := strconv.Atoi(args[6])
	events, err2 := strconv.Atoi(args[7])
	gap, err3 := time.ParseDuration(args[8])
	if err := errors.Join(err1, err2, err3); err != nil {
		return err
	}
	p := &replica{opts: replicaOptions{
		id: args[0], service: args[1], zone: args[2], version: args[3], listen: args[4], store: args[5],
		slots: slots, events: events, gap: gap,
	}}
	return p.serve()
}

// playCase plays a case whose record goes to a file, and returns the exit code.
func playCase(name, record string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitFailed
	}
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	held, err := play(w)
	if err != nil {
		w.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if !held {
		return exitBroken
	}
	return exitHeld
}
