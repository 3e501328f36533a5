//go:build review3

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playBlamedPart plays prompts with a part that crashes replicas. Sound requests of the same
// caller share the other parts, the last shared one included.
func playBlamedPart(env *environment) (bool, error) {
	const (
		every    = 1250 * time.Millisecond
		counted  = 24
		crashGap = 450 * time.Millisecond
		part     = "bad0bad0"
	)
	p, err := startPlatform(env.rec)
	if err != nil {
		return false, err
	}
	p.publishConfig(7, streamRoute("ask", "/pufi791/", 1, false, 12000, 400, 150), serviceRoute("read", "/cufi504/", "safe", 2))
	crashPart := ""
	if env.trouble {
		crashPart = part
	}
	var engines []*replica
	for i := range 8 {
		zone := []string{"luzon-a", "luzon-b"}[i%2]
		opts := replicaOptions{service: "huvo11a", zone: zone, slots: 64, events: 17, pause: 20 * time.Millisecond, first: 60 * time.Millisecond, crashPart: crashPart, downtime: 3 * time.Second}
		if i >= 6 {
			opts = replicaOptions{service: "wuno96b", zone: zone, slots: 6, work: 60 * time.Millisecond}
		}
		r, err := startReplica(env.rec, p, fmt.Sprint(i+1), opts)
		if err != nil {
			return false, err
		}
		if i < 6 {
			engines = append(engines, r)
		}
	}
	gateways, err := startGateways(env.rec, env.dir, p.address, []string{"luzon-a", "luzon-b"})
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
	send := func(id, prompt string, gateway int, keep bool) {
		running.Go(func() {
			c := &client{rec: env.rec, address: gateways[gateway%len(gateways)].callers}
			defer c.close()
			a := c.send(call{method: http.MethodPost, path: "/pufi791/2f", id: id, deadline: 12 * time.Second, prompt: prompt})
			if keep {
				mu.Lock()
				sound = append(sound, a)
				mu.Unlock()
			}
		})
	}
	number := 0
	sendSound := func() {
		number++
		send(fmt.Sprintf("sound-%d", number), fmt.Sprintf("5c1e07a2:350,77%02d:300,91bd3f06:410,e4%04d:250", number%5, number), number, true)
	}
	crashing := 0
	sendCrashing := func() {
		crashing++
		send(fmt.Sprintf("crashing-%d", crashing), fmt.Sprintf("5c1e07a2:350,%s:300,91bd3f06:410,c4%04d:250", part, crashing), crashing, false)
	}
	for range counted {
		sendSound()
		time.Sleep(every)
	}
	// Three requests with the part, in the time between two sound ones.
	sendSound()
	time.Sleep(every / 8)
	for i := range 3 {
		if i > 0 {
			time.Sleep(crashGap)
		}
		sendCrashing()
	}
	for i := range 6 + counted {
		time.Sleep(every)
		sendSound()
		if i%2 == 1 {
			time.Sleep(every / 4)
			sendCrashing()
		}
	}
	running.Wait()
	return judgeBlamedPart(env, sound, engines), nil
}

// judgeBlamedPart applies the rule LOST: from twice the stable window after the fifth crash (the
// last, if there are fewer), while such requests still come, sound requests with the same key and
// first part begin at the first attempt less than half as often as before, 20 or more of each.
func judgeBlamedPart(env *environment, sound []answer, engines []*replica) bool {
	var crashes []time.Time
	for _, r := range engines {
		crashes = append(crashes, r.crashes...)
	}
	env.rec.printf("judge: %d crashes", len(crashes))
	if len(crashes) == 0 {
		served := 0
		for _, a := range sound {
			if a.isServed() {
				served++
			}
		}
		env.rec.printf("judge: no crash, %d of %d sound requests served", served, len(sound))
		fmt.Printf("no crash, %d of %d sound requests served\n", served, len(sound))
		return 2*served < len(sound)
	}
	sortTimes(crashes)
	first, fifth := crashes[0], crashes[min(len(crashes), 5)-1]
	var before, after, begunBefore, begunAfter int
	for _, a := range sound {
		begun := a.status == http.StatusOK
		switch {
		case a.sentAt.Before(first.Add(-time.Second)):
			before++
			begunBefore += count(begun)
		case a.sentAt.After(fifth.Add(2 * stableWindow)):
			after++
			begunAfter += count(begun)
		}
	}
	env.rec.printf("judge: begun before the crashes: %d of %d; from %v after the last counted one: %d of %d", begunBefore, before, 2*stableWindow, begunAfter, after)
	fmt.Printf("%d crashes; begun before: %d of %d, after: %d of %d\n", len(crashes), begunBefore, before, begunAfter, after)
	return before >= 20 && after >= 20 && 2*begunAfter*before < begunBefore*after
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
