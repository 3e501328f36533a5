//go:build review3

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playUnframedEnds plays gateways that are partitioned from all replicas for some seconds, in the
// form in which their channels live on while new ones are refused. Streams whose answers have
// neither a length nor chunks end on these channels meanwhile.
func playUnframedEnds(env *environment) (bool, error) {
	const (
		streamsPerGateway = 8
		events            = 20
		pause             = 150 * time.Millisecond
		cutAfter          = 1500 * time.Millisecond
		cutFor            = 5 * time.Second
	)
	p, err := startPlatform(env.rec)
	if err != nil {
		return false, err
	}
	p.publishConfig(7, streamRoute("draft", "/lohu930/", 1, false, 12000, 2500, 600), serviceRoute("read", "/cufi504/", "safe", 2))
	var relays []*relay
	var replicas []*replica
	for i := range 6 {
		opts := replicaOptions{service: "huvo11a", zone: "luzon-a", slots: 64, events: events, pause: pause, first: 100 * time.Millisecond, unframed: true}
		if i >= 4 {
			opts = replicaOptions{service: "wuno96b", zone: "luzon-a", slots: 6, work: 60 * time.Millisecond}
		}
		r, line, err := startBehindRelay(env.rec, p, fmt.Sprint(i+1), opts)
		if err != nil {
			return false, err
		}
		replicas, relays = append(replicas, r), append(relays, line)
	}
	gateways, err := startGateways(env.rec, env.dir, p.address, []string{"luzon-a", "luzon-a"})
	if err != nil {
		return false, err
	}
	defer stopGateways(gateways)
	if err := awaitReady(gateways); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var answers []answer
	var clients sync.WaitGroup
	for g, gateway := range gateways {
		for i := range streamsPerGateway {
			c := &client{rec: env.rec, address: gateway.callers}
			clients.Go(func() {
				// The channel is kept: it has carried a request before.
				c.send(call{method: http.MethodGet, path: "/cufi504/2f", id: fmt.Sprintf("read-%d-%d", g, i), deadline: 3 * time.Second})
				a := c.send(call{
					method: http.MethodPost, path: "/lohu930/2f", id: fmt.Sprintf("draft-%d-%d", g, i), deadline: 12 * time.Second,
					prompt: fmt.Sprintf("5c1e07a2:800,91bd3f06:410,e44%d%d:250", g, i),
				})
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			})
		}
	}
	if env.trouble {
		time.Sleep(cutAfter)
		env.rec.printf("partition: new channels to replicas are refused, open ones live on")
		for _, r := range relays {
			r.cut()
		}
		time.Sleep(cutFor)
		for _, r := range relays {
			if err := r.heal(); err != nil {
				return false, err
			}
		}
		env.rec.printf("partition: over")
	}
	clients.Wait()
	return judgeUnframedEnds(env, answers, replicas), nil
}

// startBehindRelay starts a replica whose entry names the address of a relay.
func startBehindRelay(rec *recorder, p *platform, name string, opts replicaOptions) (*replica, *relay, error) {
	address, err := freeAddress("127.0.0.1")
	if err != nil {
		return nil, nil, err
	}
	line, err := startRelay(address)
	if err != nil {
		return nil, nil, err
	}
	opts.address, opts.listedAddress = address, line.address
	r, err := startReplica(rec, p, name, opts)
	return r, line, err
}

// judgeUnframedEnds applies the rule LOST: a machine in touch passes a request from a kept channel
// on to a sound replica and closes that channel without an answer, more than three times.
func judgeUnframedEnds(env *environment, answers []answer, replicas []*replica) bool {
	finished := make(map[string]bool)
	for _, r := range replicas {
		for _, run := range r.runs {
			finished[run.id] = finished[run.id] || run.good
		}
	}
	lost, whole := 0, 0
	for _, a := range answers {
		switch {
		case a.isServed():
			whole++
		case a.kept && finished[a.id] && !a.whole:
			lost++
			env.rec.printf("judge: %s: its replica has sent the whole answer, its kept channel was closed without the end", a.id)
		default:
			env.rec.printf("judge: %s: kept %t, finished %t, status %d", a.id, a.kept, finished[a.id], a.status)
		}
	}
	env.rec.printf("judge: %d streams, %d whole, %d passed on to a sound replica and closed without an answer (at most 3)", len(answers), whole, lost)
	fmt.Printf("%d streams, %d whole, %d lost\n", len(answers), whole, lost)
	return lost > 3
}
