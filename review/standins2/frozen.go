package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// frozenRounds is the number of times that a host freezes and the replicas of zone a are taken
	// away.
	frozenRounds = 4
	// frozenStreams is the number of streams that begin at the host once it goes on.
	frozenStreams = 36
	// frozenTime is how long it stands still.
	frozenTime = 3500 * time.Millisecond
)

// playFrozen freezes a host for a moment. Soon after, the replicas of a zone are taken away after a
// notice, while streams run that began at the host since. Two versions of the replicas' software
// serve side by side. No stream may hold events of both.
func playFrozen(w *world) (bool, error) {
	if err := w.startStore(movesConfig); err != nil {
		return false, err
	}
	m := &movers{world: w, lost: "0", unframed: "0"}
	for _, p := range []struct{ zone, version string }{
		{"a", "v1"}, {"a", "v1"}, {"b", "v1"}, {"b", "v1"}, {"b", "v2"}, {"b", "v2"},
	} {
		if err := m.add(p.zone, p.version); err != nil {
			return false, err
		}
	}
	hosts, err := w.startHosts("a", "a", "a", "a", "a", "b", "b", "b", "b")
	if err != nil {
		return false, err
	}
	joined, whole := 0, 0
	for round := range frozenRounds {
		time.Sleep(5 * time.Second)
		h := hosts[round%len(hosts)]
		if w.faults {
			w.note("host %s freezes for %v", h.name, frozenTime)
			w.signal(h.cmd, syscall.SIGSTOP)
			time.Sleep(frozenTime)
			w.signal(h.cmd, syscall.SIGCONT)
			w.note("host %s goes on", h.name)
			time.Sleep(300 * time.Millisecond)
		}
		results, err := w.drafts([]*host{h}, round, frozenStreams, m.notice)
		if err == nil {
			err = m.replace()
		}
		if err != nil {
			return false, err
		}
		joined += results["joined"]
		whole += results["whole"]
	}
	for _, p := range m.all {
		w.noteRuns(p.id)
	}
	w.note("%d streams whole and of one version, %d with events of two versions; %d are allowed", whole, joined, maxJoined)
	if !w.faults && whole != frozenStreams*frozenRounds {
		return false, fmt.Errorf("without the disruption only %d streams are whole", whole)
	}
	return joined <= maxJoined, nil
}
