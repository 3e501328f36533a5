package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	foreignGateways = 6
	foreignReplicas = 4
	// bookLimit is the time limit of book-visit on the sheet of teppichglanz, bookTimeout the
	// timeout of its route.
	bookLimit   = 2500 * time.Millisecond
	bookTimeout = 1200 * time.Millisecond
	bookWork    = 30 * time.Millisecond
	// drainTime is `drain_ms` of the site, lingerTime how much longer a replica serves.
	drainTime  = 2 * time.Second
	lingerTime = 1500 * time.Millisecond
	// releaseGap is the time between two replicas that are replaced.
	releaseGap = time.Second
	// quietTime is the time between the foreign entry and the first change after it. It
	// exceeds `stable_window_ms` and the catch-up times of the site.
	quietTime = 5 * time.Second
	// afterTime is the time after the last replica has exited.
	afterTime = 5 * time.Second
)

// foreignKey is the key of the entry of another writer: a name in Latin-1, with the byte of
// an u with a diaeresis.
const foreignKey = "stock-z\xfcrich-1"

func init() { cases["foreign"] = runForeign }

func foreignConfig() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "book-visit", "host": hostName, "path_prefix": "/book/", "kind": "unsafe", "service": "booking-app",
			"timeout_ms": bookTimeout.Milliseconds(), "target_latency_ms": 150, "priority": 2, "max_attempts": 1, "public": false,
		}},
		"services": []any{map[string]any{"name": "booking-app", "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "homes", "api_keys": []string{"key-homes"}, "priority": 1}},
	}
}

// listed is a replica with its entry in the list.
type listed struct {
	*service
	store    *store
	born     int64
	mu       sync.Mutex
	sequence int
	state    string
	// drained is when the store has acknowledged that the replica is draining.
	drained time.Time
}

// list writes the entry of a replica, and again as often as a status report is due.
func list(s *store, r *service) *listed {
	l := &listed{service: r, store: s, born: time.Now().UnixMilli(), state: "ready"}
	l.write()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			l.write()
		}
	}()
	return l
}

func (l *listed) write() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == "" {
		return
	}
	l.sequence++
	l.store.put("keyed.servers", l.id, map[string]any{
		"service": "booking-app", "address": l.address, "zone": "zh-a", "version": "v1", "slots": 6, "state": l.state,
		"cold_remaining_ms": 0, "sequence": l.sequence, "born": l.born,
	})
}

// leave drains the replica, serves on for the time that is due, and exits.
func (l *listed) leave() {
	l.mu.Lock()
	l.state = "draining"
	l.mu.Unlock()
	l.write()
	l.drained = time.Now()
	l.record.say("%s is draining", l.id)
	time.Sleep(drainTime + lingerTime)
	l.unlist()
	l.exit()
}

// book sends one request that may run once, and returns its outcome.
func (c *client) book(id string) string {
	ctx, cancel := context.WithTimeout(context.Background(), bookLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.gateway.callers+"/book/1", strings.NewReader(strings.Repeat("x", 600)))
	if err != nil {
		fail("bad request: %v", err)
	}
	req.Host = hostName
	req.Header.Set("X-Wigeonsail-Attempt-Id", id)
	req.Header.Set("X-Wigeonsail-Deadline-Ms", strconv.FormatInt(bookLimit.Milliseconds(), 10))
	req.Header.Set("X-Wigeonsail-Key", "key-homes")
	res, err := c.http.Do(req)
	if err != nil {
		return cutOrAbandoned(ctx)
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return cutOrAbandoned(ctx)
	}
	return strconv.Itoa(res.StatusCode)
}

// runForeign replaces the replicas of a service one after the other. With the disruption,
// another writer has written an entry to the list before.
func runForeign(c *caseRun) bool {
	s := newStore()
	storeAddress := serve(s)
	s.put("keyed.op", "config", foreignConfig())
	var before []*listed
	for i := range foreignReplicas {
		before = append(before, list(s, startService(fmt.Sprintf("i-old-%d", i+1), c.record, bookWork)))
	}
	hosts := startGateways(c.dir, storeAddress, foreignGateways, []string{"zh-a", "zh-b", "zh-c", "zh-d"}, budgetSlack)
	waitReady(hosts)
	time.Sleep(3 * time.Second)

	sentBy := make(map[string]string)
	type outcome struct {
		at     time.Time
		status string
	}
	outcomes := make(map[string][]outcome)
	var mu sync.Mutex
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for _, g := range hosts {
		clients.Go(func() {
			cl := newClient(g)
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				id := newID()
				mu.Lock()
				sentBy[id] = g.name
				mu.Unlock()
				at := time.Now()
				status := cl.book(id)
				c.record.add("client of %s at %s: %s", id, g.name, status)
				mu.Lock()
				outcomes[g.name] = append(outcomes[g.name], outcome{at, status})
				mu.Unlock()
			}
		})
	}
	if c.trouble {
		c.record.say("another writer adds an entry")
		s.put("keyed.servers", foreignKey, map[string]any{
			"service": "stock-ledger", "address": "127.0.0.1:9", "zone": "zh-a", "version": "7", "slots": 4, "state": "ready", "sequence": 1,
		})
	}
	time.Sleep(quietTime)
	var leaving sync.WaitGroup
	for i, old := range before {
		list(s, startService(fmt.Sprintf("i-new-%d", i+1), c.record, bookWork))
		time.Sleep(releaseGap)
		leaving.Go(old.leave)
	}
	leaving.Wait()
	gone := time.Now()
	time.Sleep(afterTime)
	close(stop)
	clients.Wait()

	late := make(map[string]int)
	total := 0
	for _, old := range before {
		for _, a := range old.takeArrivals() {
			if by := a.at.Sub(old.drained) - drainTime; by > 0 {
				late[sentBy[a.id]]++
				total++
				c.record.add("DRAIN: %s reached %s from %s %.3f s after drain_ms", a.id, old.id, sentBy[a.id], by.Seconds())
			}
		}
	}
	for _, g := range hosts {
		counts := make(map[string]int)
		for _, o := range outcomes[g.name] {
			if o.at.After(gone) {
				counts[o.status]++
			}
		}
		c.record.say("%s: %d requests reached draining replicas later than drain_ms; after the last old replica had gone: %v", g.name, late[g.name], counts)
	}
	return total == 0
}
