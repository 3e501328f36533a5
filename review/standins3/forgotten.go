//go:build review3

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playForgottenCrashes plays power losses of all gateways after the first crashes, playLostQuarantine
// one after the store has come back from a copy that lacks what was written since the first crash.
func playForgottenCrashes(env *environment) (bool, error) { return playForgotten(env, false) }

func playLostQuarantine(env *environment) (bool, error) { return playForgotten(env, true) }

// playForgotten plays prompts with a part that crashes replicas, one at a time. All gateways
// lose power at the same moment after the first two, and start again.
func playForgotten(env *environment, drill bool) (bool, error) {
	const (
		part        = "bad0bad0"
		settle      = 4 * time.Second
		downtime    = time.Second
		powerLosses = 2
		drillGap    = 1500 * time.Millisecond
	)
	p, err := startPlatform(env.rec)
	if err != nil {
		return false, err
	}
	publish := func() {
		p.publishConfig(7, streamRoute("brief", "/pufi791/", 2, true, 6000, 800, 250), streamRoute("draft", "/lohu930/", 1, false, 12000, 2500, 600),
			serviceRoute("read", "/cufi504/", "safe", 2))
	}
	publish()
	engines, err := startReplicas(env.rec, p, 12, part, 3*time.Second)
	if err != nil {
		return false, err
	}
	zones := []string{"luzon-a", "luzon-b"}
	gateways, err := startGateways(env.rec, env.dir, p.address, zones)
	if err != nil {
		return false, err
	}
	defer func() { stopGateways(gateways) }()
	if err := awaitReady(gateways); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var sound []answer
	var running sync.WaitGroup
	stop := make(chan struct{})
	for i := range 24 {
		address := gateways[i%len(gateways)].callers
		running.Go(func() {
			c := &client{rec: env.rec, address: address}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
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
	crashing := 0
	sendCrashing := func() {
		crashing++
		id, address := fmt.Sprintf("crashing-%d", crashing), gateways[crashing%len(gateways)].callers
		running.Go(func() {
			c := &client{rec: env.rec, address: address}
			defer c.close()
			c.send(call{method: http.MethodPost, path: "/pufi791/2f", id: id, deadline: 6 * time.Second, prompt: fmt.Sprintf("5c1e07a2:800,%s:410,c4%04d:250", part, crashing)})
		})
	}
	losePower := func() error {
		if !env.trouble {
			return nil
		}
		env.rec.printf("all gateways lose power")
		return restartAll(env, gateways, downtime)
	}
	if drill {
		copied := p.copy()
		for range 3 {
			sendCrashing()
			time.Sleep(drillGap)
		}
		if env.trouble {
			p.restore(copied, time.Second, publish)
		}
		time.Sleep(2 * settle)
		if err := losePower(); err != nil {
			return false, err
		}
	}
	for range powerLosses {
		if drill {
			break
		}
		for range 2 {
			sendCrashing()
			time.Sleep(settle)
		}
		if err := losePower(); err != nil {
			return false, err
		}
	}
	for range 4 {
		sendCrashing()
		time.Sleep(settle)
	}
	close(stop)
	running.Wait()
	return judgeBursts(env, sound, engines), nil
}

// restartAll kills all gateways at the same moment, starts them again, and waits until they are in
// touch.
func restartAll(env *environment, gateways []*gatewayProcess, downtime time.Duration) error {
	for _, g := range gateways {
		_ = g.command.Process.Kill()
	}
	time.Sleep(downtime)
	for i, g := range gateways {
		<-g.ended
		s := g.settings
		s.bootstrap = false
		var err error
		if gateways[i], err = startGateway(env.rec, env.dir, s); err != nil {
			return err
		}
	}
	return awaitReady(gateways)
}

// startReplicas starts engines in two failure domains, and two plain replicas.
func startReplicas(rec *recorder, p *platform, count int, crashPart string, downtime time.Duration) ([]*replica, error) {
	var engines []*replica
	for i := range count + 2 {
		opts := replicaOptions{
			service: "huvo11a", zone: []string{"luzon-a", "luzon-b"}[i%2], slots: 64, events: 20, pause: 100 * time.Millisecond, first: 60 * time.Millisecond,
			crashPart: crashPart, downtime: downtime,
		}
		if i >= count {
			opts = replicaOptions{service: "wuno96b", zone: opts.zone, slots: 6, work: 60 * time.Millisecond}
		}
		r, err := startReplica(rec, p, fmt.Sprint(i+1), opts)
		if err != nil {
			return nil, err
		}
		if i < count {
			engines = append(engines, r)
		}
	}
	return engines, nil
}
