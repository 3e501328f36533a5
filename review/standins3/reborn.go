//go:build review3

package main

import (
	"fmt"
	"sync"
	"time"
)

// playRebornBehindCut plays replicas that are partitioned from the store for some seconds, crash
// behind the cut while idle and start again with another software version. Streams begin there, and
// the replica crashes once more.
func playRebornBehindCut(env *environment) (bool, error) {
	const (
		replicas = 5
		rounds   = 4
		streams  = 16
		downtime = time.Second
		cutFor   = 5 * time.Second
	)
	p, err := startPlatform(env.rec)
	if err != nil {
		return false, err
	}
	p.publishConfig(7, streamRoute("brief", "/pufi791/", 2, true, 12000, 800, 250), serviceRoute("read", "/cufi504/", "safe", 2))
	var engines []*replica
	for i := range replicas {
		opts := replicaOptions{
			service: "huvo11a", zone: []string{"luzon-a", "luzon-b"}[i%2], slots: 64, events: 40, pause: 100 * time.Millisecond, first: 60 * time.Millisecond,
			downtime: downtime,
		}
		r, err := startReplica(env.rec, p, fmt.Sprint(i+1), opts)
		if err != nil {
			return false, err
		}
		r.keepsID = true
		engines = append(engines, r)
	}
	gateways, err := startGateways(env.rec, env.dir, p.address, []string{"luzon-a", "luzon-b"})
	if err != nil {
		return false, err
	}
	defer stopGateways(gateways)
	if err := awaitReady(gateways); err != nil {
		return false, err
	}
	var results []string
	for n, r := range engines[:rounds] {
		if env.trouble {
			env.rec.printf("replica %s: is partitioned from the store", r.id)
			r.silent.Store(true)
			time.AfterFunc(cutFor, func() {
				r.silent.Store(false)
				r.beat()
				env.rec.printf("replica %s: reaches the store again", r.id)
			})
			r.nextVersion = fmt.Sprint("v", 2+n)
			r.crash()
		}
		time.Sleep(downtime + 150*time.Millisecond)
		var running sync.WaitGroup
		texts := make([]string, streams)
		for i := range streams {
			address := gateways[i%len(gateways)].callers
			running.Go(func() { texts[i] = followStream(env.rec, address, fmt.Sprintf("brief-%d%02d", n, i)) })
		}
		time.Sleep(900 * time.Millisecond)
		if env.trouble {
			r.crash()
		}
		running.Wait()
		results = append(results, texts...)
		time.Sleep(5 * time.Second)
	}
	return judgeJoinedVersions(env, results), nil
}
