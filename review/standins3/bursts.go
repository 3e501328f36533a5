//go:build review3

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playBursts plays prompts with a part that crashes replicas. They come some at a time, at several
// gateways, beside sound streams.
func playBursts(env *environment) (bool, error) {
	const (
		bursts   = 4
		perBurst = 4
		every    = 5 * time.Second
		part     = "bad0bad0"
	)
	p, err := startPlatform(env.rec)
	if err != nil {
		return false, err
	}
	p.publishConfig(7, streamRoute("brief", "/pufi791/", 2, true, 6000, 800, 250), streamRoute("draft", "/lohu930/", 1, false, 12000, 2500, 600),
		serviceRoute("read", "/cufi504/", "safe", 2))
	crashPart := ""
	if env.trouble {
		crashPart = part
	}
	var engines []*replica
	for i := range 20 {
		zone := []string{"luzon-a", "luzon-b"}[i%2]
		opts := replicaOptions{service: "huvo11a", zone: zone, slots: 64, events: 20, pause: 100 * time.Millisecond, first: 60 * time.Millisecond, crashPart: crashPart, downtime: 3 * time.Second}
		if i >= 18 {
			opts = replicaOptions{service: "wuno96b", zone: zone, slots: 6, work: 60 * time.Millisecond}
		}
		r, err := startReplica(env.rec, p, fmt.Sprint(i+1), opts)
		if err != nil {
			return false, err
		}
		if i < 18 {
			engines = append(engines, r)
		}
	}
	gateways, err := startGateways(env.rec, env.dir, p.address, []string{"luzon-a", "luzon-a", "luzon-b", "luzon-b"})
	if err != nil {
		return false, err
	}
	defer stopGateways(gateways)
	if err := awaitReady(gateways); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var sound []answer
	var running sync.WaitGroup
	stop := make(chan struct{})
	for i := range 9 * len(gateways) {
		running.Go(func() {
			c := &client{rec: env.rec, address: gateways[i%len(gateways)].callers}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				a := c.send(call{
					method: http.MethodPost, path: "/lohu930/2f", id: fmt.Sprintf("sound-%d-%d", i, n), deadline: 12 * time.Second,
					prompt: fmt.Sprintf("5c1e07a2:800,91%02d%04d:410,e4%02d%04d:250", i, n, i, n),
				})
				mu.Lock()
				sound = append(sound, a)
				mu.Unlock()
			}
		})
	}
	for b := range bursts {
		for i := range perBurst {
			running.Go(func() {
				c := &client{rec: env.rec, address: gateways[(b+i)%len(gateways)].callers}
				defer c.close()
				c.send(call{
					method: http.MethodPost, path: "/pufi791/2f", id: fmt.Sprintf("crashing-%d-%d", b, i), deadline: 6 * time.Second,
					prompt: fmt.Sprintf("5c1e07a2:800,%s:410,d0%02d%04d:300,c4%02d%04d:250", part, b, i, b, i),
				})
			})
		}
		time.Sleep(every)
	}
	close(stop)
	running.Wait()
	return judgeBursts(env, sound, engines), nil
}

// judgeBursts applies the rule BUDGET: no more than three requests with a part that crashes
// replicas reach replicas later than the stable window after the fifth crash.
func judgeBursts(env *environment, sound []answer, engines []*replica) bool {
	var crashes []time.Time
	for _, r := range engines {
		crashes = append(crashes, r.crashes...)
	}
	sortTimes(crashes)
	cut := 0
	for _, a := range sound {
		if !a.isServed() && a.status == http.StatusOK {
			cut++
			env.rec.printf("judge: the sound stream %s was cut: %v", a.id, a.err)
		}
	}
	late, reached := 0, 0
	for _, r := range engines {
		for _, run := range r.runs {
			if !run.part {
				continue
			}
			reached++
			if len(crashes) >= 5 && run.at.After(crashes[4].Add(stableWindow)) {
				late++
				env.rec.printf("judge: %s reached a replica %.1f s after the fifth crash", run.id, run.at.Sub(crashes[4]).Seconds())
			}
		}
	}
	cutLate := 0
	for _, a := range sound {
		if len(crashes) >= 5 && !a.isServed() && a.status == http.StatusOK && a.endedAt.After(crashes[4].Add(stableWindow)) {
			cutLate++
		}
	}
	env.rec.printf("judge: %d crashes, %d requests with the part reached replicas, %d of them later than %v after the fifth crash (at most 3); %d of %d sound streams were cut after they had begun, %d of them after that time",
		len(crashes), reached, late, stableWindow, cut, len(sound), cutLate)
	fmt.Printf("%d crashes, %d requests with the part reached replicas, %d of them late (at most 3); %d of %d sound streams cut\n", len(crashes), reached, late, cut, len(sound))
	return late > 3
}
