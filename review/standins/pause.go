package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const hostName = "desk.example"

// The route and the time limits are those of chat-reply and quote-draft on the sheet of
// teppichglanz, the bounds those of its deployment.
const (
	chatTarget  = time.Second
	chatGap     = 200 * time.Millisecond
	chatLimit   = 15 * time.Second
	quoteLimit  = 6 * time.Second
	budgetSlack = 52
	grace       = 8 * time.Second
	// patience is the gap after which clients abandon a stream: the longest of two seconds,
	// four times the objective and eight times the pause.
	patience = max(2*time.Second, 4*chatTarget, 8*chatGap)
)

const (
	engines     = 3
	gateways    = 6
	chats       = 144
	chatPrompt  = 700
	chatOutput  = 50 * tokensPerEvent
	quotes      = 6
	quotePrompt = 39600
	quoteOutput = 17 * tokensPerEvent
	engineSlots = 64
	engineSpace = 48000
)

func init() { cases["pause"] = runPause }

func pauseConfig() map[string]any {
	route := func(name string, priority int, target, gap, timeout time.Duration, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "path_prefix": "/" + name + "/", "kind": "streaming", "service": "models",
			"timeout_ms": timeout.Milliseconds(), "target_latency_ms": target.Milliseconds(), "priority": priority,
			"max_attempts": attempts, "public": false, "sticky": true, "resumable": resumable, "gap_aim_ms": gap.Milliseconds(),
		}
	}
	return map[string]any{
		"version": 3,
		"routes": []any{
			route("chat", 0, chatTarget, chatGap, chatLimit, 2, true),
			route("quote", 2, 2*time.Second, 800*time.Millisecond, quoteLimit, 2, true),
		},
		"services": []any{map[string]any{
			"name": "models", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": engineSlots, "kv_capacity_tokens": engineSpace},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{
			map[string]any{"name": "hotel", "api_keys": []string{"key-hotel"}, "priority": 0},
			map[string]any{"name": "homes", "api_keys": []string{"key-homes"}, "priority": 1},
		},
	}
}

// register writes the entry of a replica as often as a status report is due.
func register(s *store, id, service, address, zone string, slots int) {
	born := time.Now().UnixMilli()
	write := func(sequence int) {
		s.put("keyed.servers", id, map[string]any{
			"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready",
			"cold_remaining_ms": 0, "sequence": sequence, "born": born, "stage": "both",
			"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
		})
	}
	write(1)
	go func() {
		sequence := 1
		for range time.Tick(1200 * time.Millisecond) {
			sequence++
			write(sequence)
		}
	}()
}

// runPause plays chats while a gateway is stopped. With the disruption, urgent requests
// with long prompts arrive, and the engines preempt chats for them.
func runPause(c *caseRun) bool {
	s := newStore()
	storeAddress := serve(s)
	s.put("keyed.op", "config", pauseConfig())
	var all []*engine
	for i := range engines {
		e := newEngine(fmt.Sprintf("i-%d", i+1), c.record, engineSlots, engineSpace)
		all = append(all, e)
		register(s, e.id, "models", serve(e), zoneOf(i), engineSlots)
	}
	hosts := startGateways(c.dir, storeAddress, gateways, []string{"zh-a", "zh-b"}, budgetSlack)
	waitReady(hosts)
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	var answers []answer
	var clients sync.WaitGroup
	play := func(g *gateway, key, path string, prompt, output int, limit time.Duration) {
		clients.Go(func() {
			cl := newClient(g)
			r := request{id: newID(), key: key, path: path, prompt: prompt, output: output, deadline: limit, maxGap: patience}
			c.record.add("client sends %s%s to %s", path, r.id, g.name)
			a := cl.stream(r)
			c.record.add("client of %s%s at %s: %s, status %d, %d events, last one %.3f s before", path, r.id, g.name, a.outcome, a.status, a.events, time.Since(a.lastEvent).Seconds())
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
		})
	}
	for i := range chats {
		// The share of clients per gateway is uneven.
		at := i % (gateways + 2)
		if at >= gateways {
			at = 0
		}
		play(hosts[at], "key-homes", "/chat/", chatPrompt, chatOutput, chatLimit)
		time.Sleep(time.Second / chats)
	}
	time.Sleep(500 * time.Millisecond)
	stopped := time.Now()
	c.record.say("SIGTERM to %s", hosts[0].name)
	if err := hosts[0].cmd.Process.Signal(syscall.SIGTERM); err != nil {
		fail("cannot stop %s: %v", hosts[0].name, err)
	}
	time.Sleep(300 * time.Millisecond)
	if c.trouble {
		for range quotes {
			play(hosts[1], "key-hotel", "/quote/", quotePrompt, quoteOutput, quoteLimit)
			time.Sleep(50 * time.Millisecond)
		}
	}
	clients.Wait()
	return checkLost(c, answers, all, hosts[0].name, stopped)
}

func zoneOf(i int) string { return []string{"zh-a", "zh-b"}[i%2] }

// checkLost checks the rule LOST for the requests that a stopped gateway took: it may not end
// the channel without a complete answer, unless the replica broke off, a time limit was
// reached, or the replica was still at work in the last sixth of the grace time.
func checkLost(c *caseRun, answers []answer, all []*engine, name string, stopped time.Time) bool {
	runs := make(map[string][]run)
	for _, e := range all {
		for _, r := range e.takeRuns() {
			runs[r.id] = append(runs[r.id], r)
		}
	}
	counts := make(map[string]int)
	lost := 0
	for _, a := range answers {
		counts[fmt.Sprintf("%s of %s", a.outcome, a.gateway)]++
		if a.gateway != name || a.outcome != "cut" || a.ended.Sub(a.sent) > chatLimit {
			continue
		}
		lastAtWork := time.Time{}
		for _, r := range runs[a.id] {
			if r.ended.After(lastAtWork) {
				lastAtWork = r.ended
			}
		}
		if a.ended.After(stopped.Add(grace+time.Second)) || lastAtWork.After(stopped.Add(grace*5/6)) {
			continue
		}
		lost++
		c.record.add("LOST: %s cut %s %.3f s after its SIGTERM, after %d of %d events, %d runs, none broken off by a replica",
			name, a.id, a.ended.Sub(stopped).Seconds(), a.events, a.output/tokensPerEvent, len(runs[a.id]))
	}
	for what, n := range counts {
		c.record.say("%s: %d", what, n)
	}
	c.record.say("requests that %s took and ended without a complete answer around its SIGTERM: %d", name, lost)
	return lost == 0
}
