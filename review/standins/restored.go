package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// restoredGateways and restoredSlack are the machines and `budget_slack` of silbato-roster.
	restoredGateways = 9
	restoredSlack    = 58
	// clientsPerGateway is the number of clients that send one request after the other.
	clientsPerGateway = 5
	// joinTime is the time from the first entry of a replica to the copy, copyAge that from the
	// copy to the removal of the entry, and awayFrom that until the store goes away.
	joinTime = 500 * time.Millisecond
	copyAge  = 2 * time.Second
	awayFrom = time.Second
	// awayTime is how long the store is away.
	awayTime = 800 * time.Millisecond
	// silenceTime are the three status report intervals after which the store removes an
	// entry.
	silenceTime = 3600 * time.Millisecond
	// serveTime is how long the replica serves after its entry was removed.
	serveTime = 20 * time.Second
)

func init() { cases["restored"] = runRestored }

// runRestored removes the entry of a replica that goes on serving for a while. With the
// disruption, the store comes back from a copy that still has the entry, and removes it
// again.
func runRestored(c *caseRun) bool {
	s := newStore()
	storeAddress := serve(s)
	s.put("keyed.op", "config", foreignConfig())
	for i := range foreignReplicas {
		list(s, startService(fmt.Sprintf("i-%d", i+1), c.record, bookWork))
	}
	hosts := startGateways(c.dir, storeAddress, restoredGateways, []string{"luzon-a", "luzon-b", "luzon-c", "luzon-d"}, restoredSlack)
	waitReady(hosts)
	time.Sleep(3 * time.Second)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	sentBy := make(map[string]string)
	outcomes := make(map[string]int)
	for i := range clientsPerGateway * len(hosts) {
		g := hosts[i%len(hosts)]
		clients.Go(func() {
			cl := newClient(g)
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				id := newID()
				mu.Lock()
				sentBy[id] = g.name
				mu.Unlock()
				status := cl.book(id)
				c.record.add("client of %s at %s: %s", id, g.name, status)
				mu.Lock()
				outcomes[status]++
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Second)
	leaving := list(s, startService("i-new", c.record, bookWork))
	c.record.say("%s joins", leaving.id)
	time.Sleep(joinTime)
	copied := s.copyTopics()
	time.Sleep(copyAge)
	leaving.unlist()
	removed := time.Now()
	c.record.say("the entry of %s is removed; it serves on", leaving.id)
	time.Sleep(awayFrom)
	if c.trouble {
		c.record.say("the store is away")
		s.leave()
		time.Sleep(awayTime)
		c.record.say("the store is back from a copy")
		s.restore(copied)
		time.Sleep(silenceTime)
		s.put("keyed.servers", leaving.id, nil)
		removed = time.Now()
		c.record.say("the store removes the entry of %s again", leaving.id)
	}
	time.Sleep(serveTime - copyAge - awayFrom - awayTime - silenceTime)
	leaving.exit()
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()

	late := make(map[string]int)
	total := 0
	for _, a := range leaving.takeArrivals() {
		if by := a.at.Sub(removed) - drainTime; by > 0 {
			late[sentBy[a.id]]++
			total++
			c.record.add("DRAIN: %s reached %s from %s %.3f s after drain_ms", a.id, leaving.id, sentBy[a.id], by.Seconds())
		}
	}
	c.record.say("outcomes: %v", outcomes)
	c.record.say("requests that reached %s later than drain_ms after its last removal: %d, by gateway %v", leaving.id, total, late)
	return total == 0
}

// unlist removes the entry of the replica.
func (l *listed) unlist() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = ""
	l.store.put("keyed.servers", l.id, nil)
}
