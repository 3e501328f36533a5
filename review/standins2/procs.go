package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is a small deployment: a store, gateways and replicas as separate processes.
type world struct {
	dir, self, gateway string
	store              string
	mu                 sync.Mutex
	running            map[*exec.Cmd]bool
	record             *os.File
	began              time.Time
	faults             bool
}

// newWorld returns a deployment without processes. Its record is written to a file.
func newWorld(record string) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	gateway, err := filepath.Abs("target/wigeonsail")
	if err != nil {
		return nil, err
	}
	return &world{
		dir: dir, self: self, gateway: gateway, running: make(map[*exec.Cmd]bool), record: out, began: time.Now(),
		faults: os.Getenv("TROUBLE") != "0",
	}, nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%7.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// start starts a process whose output goes to a file of the temporary folder.
func (w *world) start(name, program string, args ...string) (*exec.Cmd, error) {
	out, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running[cmd] = true
	return cmd, nil
}

// kill ends a process that start has started, at once.
func (w *world) kill(cmd *exec.Cmd) {
	w.signal(cmd, syscall.SIGKILL)
	_, _ = cmd.Process.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.running, cmd)
}

func (w *world) signal(cmd *exec.Cmd, s syscall.Signal) { _ = cmd.Process.Signal(s) }

// noteRuns adds the lines that replicas have printed to the record.
func (w *world) noteRuns(names ...string) {
	for _, name := range names {
		text, err := os.ReadFile(filepath.Join(w.dir, name+".log"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
			w.note("%s: %s", name, strings.TrimSpace(line))
		}
	}
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	w.mu.Lock()
	var left []*exec.Cmd
	for cmd := range w.running {
		left = append(left, cmd)
	}
	w.mu.Unlock()
	for _, cmd := range left {
		w.kill(cmd)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
	_ = w.record.Close()
}

// loopback is an address of this run, so that no outgoing connection and no other run takes a port.
var loopback = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// startStore starts the store with a configuration.
func (w *world) startStore(config string) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	w.store = address
	if _, err := w.start("store", w.self, "store", address); err != nil {
		return err
	}
	for range 100 {
		if err = w.put("keyed.op", "config", config); err == nil {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return err
}

// put writes a record as the operator or a replica does.
func (w *world) put(topic, key, value string) error {
	req, err := http.NewRequest(http.MethodPut, "http://"+w.store+"/put?topic="+topic+"&key="+key, strings.NewReader(value))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// host is a gateway process with its addresses.
type host struct {
	name, zone                     string
	callers, ready, peers, metrics string
	settings                       string
	cmd                            *exec.Cmd
}

// startHosts starts gateways in the given zones, with settings by the template of the deploy
// file.
func (w *world) startHosts(zones ...string) ([]*host, error) {
	var hosts []*host
	var seeds []string
	for i, zone := range zones {
		h := &host{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone}
		for _, address := range []*string{&h.callers, &h.ready, &h.peers, &h.metrics} {
			var err error
			if *address, err = freeAddress(); err != nil {
				return nil, err
			}
		}
		hosts = append(hosts, h)
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", h.peers))
		}
	}
	for _, h := range hosts {
		h.settings = filepath.Join(w.dir, h.name+".toml")
		text := fmt.Sprintf(`host = %q
domain = %q
first_start = true

[listen]
callers = %q
readiness = %q
peers = %q
metrics = %q

[platform]
address = %q

[peers]
secret = "wigeonsail-entry-hosts"
seeds = [%s]

[retries]
ratio = 0.2
slack = 58
window = "10s"

[shutdown]
grace = "8s"

[limits]
memory_mb = 284
link_mbps = 1000
`, h.name, h.zone, h.callers, h.ready, h.peers, h.metrics, w.store, strings.Join(seeds, ","))
		if err := os.WriteFile(h.settings, []byte(text), 0o644); err != nil {
			return nil, err
		}
		if err := w.startHost(h); err != nil {
			return nil, err
		}
	}
	for _, h := range hosts {
		if !w.awaitReady(h, 10*time.Second) {
			return nil, fmt.Errorf("%s is not ready", h.name)
		}
	}
	return hosts, nil
}

func (w *world) startHost(h *host) (err error) {
	h.cmd, err = w.start(h.name, w.gateway, "gateway", "-c", h.settings)
	return err
}

// awaitReady waits until a host reports that it is ready.
func (w *world) awaitReady(h *host, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ready+"/v1/ready", nil)
		if err != nil {
			return false
		}
		if res, err := http.DefaultClient.Do(req); err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}
