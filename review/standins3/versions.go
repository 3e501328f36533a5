//go:build review3

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"time"
)

// playJoinedVersions plays a drill of the store, from a copy that was made before a release began.
// All gateways lose power while the store is away, and start again as it comes back. Clients take
// their streams up again.
func playJoinedVersions(env *environment) (bool, error) {
	const (
		// settled is how long the gateways run before the release; they take a version for the
		// only one of a service after a minute.
		settled = 62 * time.Second
		streams = 24
		// entriesBack is when the entries that the copy lacks are back after the store.
		entriesBack = 1900 * time.Millisecond
		away        = time.Second
	)
	p, err := startPlatform(env.rec)
	if err != nil {
		return false, err
	}
	publish := func() {
		p.publishConfig(7, streamRoute("brief", "/pufi791/", 2, true, 12000, 800, 250), serviceRoute("read", "/cufi504/", "safe", 2))
	}
	publish()
	engine := replicaOptions{service: "huvo11a", slots: 64, events: 40, pause: 150 * time.Millisecond, first: 60 * time.Millisecond}
	for i := range 4 {
		opts := engine
		opts.zone = []string{"luzon-a", "luzon-b"}[i%2]
		if _, err := startReplica(env.rec, p, fmt.Sprint("old", i+1), opts); err != nil {
			return false, err
		}
	}
	gateways, err := startGateways(env.rec, env.dir, p.address, []string{"luzon-a", "luzon-b"})
	if err != nil {
		return false, err
	}
	defer func() { stopGateways(gateways) }()
	began := time.Now()
	if err := awaitReady(gateways); err != nil {
		return false, err
	}
	time.Sleep(time.Until(began.Add(settled)))
	copied := p.copy()
	env.rec.printf("platform: a copy of the store is made")
	var newer []*replica
	for i := range 2 {
		opts := engine
		opts.zone, opts.version = []string{"luzon-a", "luzon-b"}[i%2], "v2"
		r, err := startReplica(env.rec, p, fmt.Sprint("new", i+1), opts)
		if err != nil {
			return false, err
		}
		newer = append(newer, r)
	}
	time.Sleep(2 * time.Second)
	var running sync.WaitGroup
	results := make([]string, streams)
	for i := range streams {
		address := gateways[i%len(gateways)].callers
		running.Go(func() { results[i] = followStream(env.rec, address, fmt.Sprint("brief-", i)) })
	}
	time.Sleep(1500 * time.Millisecond)
	if env.trouble {
		for _, r := range newer {
			r.silent.Store(true)
		}
		env.rec.printf("all gateways lose power")
		for _, g := range gateways {
			_ = g.command.Process.Kill()
		}
		p.restore(copied, away, publish)
		time.AfterFunc(entriesBack, func() {
			for _, r := range newer {
				r.silent.Store(false)
				r.beat()
			}
			env.rec.printf("replicas: all entries are back")
		})
		if err := startAgain(env, gateways); err != nil {
			return false, err
		}
	}
	running.Wait()
	return judgeJoinedVersions(env, results), nil
}

// startAgain starts gateways that were killed.
func startAgain(env *environment, gateways []*gatewayProcess) error {
	for i, g := range gateways {
		<-g.ended
		s := g.settings
		s.bootstrap = false
		var err error
		if gateways[i], err = startGateway(env.rec, env.dir, s); err != nil {
			return err
		}
	}
	return nil
}

var eventPattern = regexp.MustCompile(`id: (\d+)\ndata: piece \d+ of (v\d)\n\n`)

// followStream reads a stream, and takes it up again after a broken channel or a refusal until the
// time limit. It returns the events of all tries.
func followStream(rec *recorder, address, id string) string {
	const limit = 12 * time.Second
	end := time.Now().Add(limit)
	prompt := fmt.Sprintf("5c1e07a2:800,91bd%s:410,e4%s:250", id[6:], id[6:])
	var received strings.Builder
	last, first := "", id
	for try := 1; time.Until(end) > 0; try++ {
		k := call{method: http.MethodPost, path: "/pufi791/2f", id: fmt.Sprintf("%s-try%d", id, try), deadline: time.Until(end), prompt: prompt}
		if last != "" {
			k.resumes, k.lastEvent = first, last
		} else {
			first = k.id
		}
		c := &client{rec: rec, address: address}
		a := c.send(k)
		c.close()
		for _, event := range eventPattern.FindAllStringSubmatch(a.body, -1) {
			received.WriteString(event[0])
			last = event[1]
		}
		if a.isServed() {
			break
		}
		time.Sleep(max(a.retryAfter, 100*time.Millisecond+rand.N(300*time.Millisecond)))
	}
	return received.String()
}

// judgeJoinedVersions applies the rule ORDER: no more than two streams hold events from replicas of
// two software versions of one service, in one answer or over a client's tries.
func judgeJoinedVersions(env *environment, results []string) bool {
	joined := 0
	for i, text := range results {
		versions := make(map[string]bool)
		events := eventPattern.FindAllStringSubmatch(text, -1)
		var order []string
		for _, event := range events {
			if len(order) == 0 || order[len(order)-1] != event[2] {
				order = append(order, event[2])
			}
			versions[event[2]] = true
		}
		if len(versions) > 1 {
			joined++
		}
		env.rec.printf("judge: stream %d has %d events of %v", i, len(events), order)
	}
	env.rec.printf("judge: %d of %d streams hold events of two versions (at most 2)", joined, len(results))
	fmt.Printf("%d of %d streams hold events of two versions\n", joined, len(results))
	return joined > 2
}
