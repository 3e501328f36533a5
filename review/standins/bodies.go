package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryMB is `memory_mb` of a machine of teppichglanz. The platform ends a process that
	// exceeds it.
	memoryMB = 134
	// maxBody is below `max_body_bytes`, 4,194,304.
	maxBody = 4000000
	// bodyRate is the number of requests a second that each gateway gets.
	bodyRate   = 5.0
	bodyOutput = 40 * tokensPerEvent
	// restartDelay is the time until the platform starts a process again.
	restartDelay = 300 * time.Millisecond
	// endsOfFault is the number of ends of a machine's processes that breaks the rule, on
	// machinesOfFault machines.
	endsOfFault     = 3
	machinesOfFault = 2
)

// bursts are the bursts of the quiet day of the site: their starts, ends and factors.
var bursts = []struct {
	from, to time.Duration
	factor   float64
}{
	{500 * time.Millisecond, 9500 * time.Millisecond, 2.2},
	{11 * time.Second, 16 * time.Second, 2.1},
	{17500 * time.Millisecond, 22 * time.Second, 2.0},
}

const bodyDay = 24 * time.Second

func init() { cases["bodies"] = runBodies }

// residentMB returns the memory that a process holds, in MB; 0 if it has ended.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for text := range strings.Lines(string(data)) {
		if rest, found := strings.CutPrefix(text, "VmRSS:"); found {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return kb >> 10
		}
	}
	return 0
}

// platformHost ends and restarts the process of a gateway as the platform does.
type platformHost struct {
	*gateway
	settings string
	ends     int
	most     int
}

// watch ends the process whenever it exceeds the memory of its machine, until stop.
func (h *platformHost) watch(c *caseRun, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		resident := residentMB(h.cmd.Process.Pid)
		h.most = max(h.most, resident)
		if resident <= memoryMB {
			continue
		}
		h.ends++
		c.record.say("%s holds %d MB, more than %d: the platform ends it", h.name, resident, memoryMB)
		_ = h.cmd.Process.Signal(syscall.SIGKILL)
		<-h.exited
		time.Sleep(restartDelay)
		h.start(c.dir, h.settings)
	}
}

// runBodies plays requests with long bodies. With the disruption, as many more come as in
// the bursts of the site's quiet day.
func runBodies(c *caseRun) bool {
	bodyBytes = maxBody
	s := newStore()
	storeAddress := serve(s)
	s.put("keyed.op", "config", pauseConfig())
	for i := range 2 * engines {
		e := newEngine(fmt.Sprintf("i-%d", i+1), c.record, engineSlots, 232000)
		register(s, e.id, "models", serve(e), zoneOf(i), engineSlots)
	}
	var hosts []*platformHost
	for _, g := range startGateways(c.dir, storeAddress, machinesOfFault, []string{"zh-a", "zh-b"}, budgetSlack) {
		settings, err := os.ReadFile(g.settingsPath(c.dir))
		if err != nil {
			fail("cannot read the settings: %v", err)
		}
		hosts = append(hosts, &platformHost{gateway: g, settings: string(settings)})
	}
	for _, h := range hosts {
		waitReady([]*gateway{h.gateway})
	}
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var watches, clients sync.WaitGroup
	for _, h := range hosts {
		watches.Go(func() { h.watch(c, stop) })
	}
	outcomes := make(map[string]int)
	var mu sync.Mutex
	began := time.Now()
	for _, h := range hosts {
		clients.Go(func() {
			for {
				now := time.Since(began)
				if now > bodyDay {
					return
				}
				clients.Go(func() {
					a := newClient(h.gateway).stream(request{
						id: newID(), key: "key-homes", path: "/quote/", prompt: chatPrompt, output: bodyOutput,
						deadline: quoteLimit, maxGap: patience,
					})
					c.record.add("client of %s at %s: %s, status %d, %d events", a.id, h.name, a.outcome, a.status, a.events)
					mu.Lock()
					outcomes[a.outcome]++
					mu.Unlock()
				})
				time.Sleep(time.Duration(float64(time.Second) / (bodyRate * factorAt(c.trouble, now))))
			}
		})
	}
	clients.Wait()
	close(stop)
	watches.Wait()
	broken := 0
	for _, h := range hosts {
		if h.ends >= endsOfFault {
			broken++
		}
		c.record.say("%s: ended %d times, %d MB at most", h.name, h.ends, h.most)
	}
	for outcome, n := range outcomes {
		c.record.say("%s: %d", outcome, n)
	}
	return broken < machinesOfFault
}

// factorAt returns by how much there are more requests than usual at a time.
func factorAt(trouble bool, at time.Duration) float64 {
	for _, b := range bursts {
		if trouble && at >= b.from && at < b.to {
			return b.factor
		}
	}
	return 1
}
