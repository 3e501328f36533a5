//go:build review3

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/standin/logstore"
)

const (
	routeHost = "ficu95.example"
	clientKey = "n2ctnfzs989anu6wsjnb"
	tenant    = "hule930"

	configTopic  = "keyed.op"
	serversTopic = "keyed.servers"

	heartbeatInterval = 1200 * time.Millisecond
	// entryLife is the silence after which the platform removes an entry.
	entryLife = 3 * heartbeatInterval
	// stableWindow is stable_window_ms of the deployment.
	stableWindow = 3 * time.Second
)

// recorder writes the record of a case.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, started: time.Now()}, nil
}

// printf writes a line with the time since the start of the case.
func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
	if os.Getenv("VERBOSE") != "" {
		fmt.Println(line)
	}
}

// platform is the users' platform: the store, its operator and the list of replicas.
type platform struct {
	rec     *recorder
	store   *logstore.Server
	address string
	server  *http.Server
	mu      sync.Mutex
	beats   map[string]time.Time
	listed  map[string]bool
}

func startPlatform(rec *recorder) (*platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{
		rec: rec, store: logstore.New(), address: listener.Addr().String(),
		beats: make(map[string]time.Time), listed: make(map[string]bool),
	}
	p.server = &http.Server{Handler: p.store}
	go func() { _ = p.server.Serve(listener) }()
	go p.expire()
	return p, nil
}

// publishConfig writes a configuration like that of a small deployment.
func (p *platform) publishConfig(version int, routes ...map[string]any) {
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "huvo11a", "health_path": "/health", "max_connections": 370, "protocol": "h1", "engine": map[string]any{
				"slots": 64, "kv_capacity_tokens": 546165, "kv_token_bytes": 35136, "link_mbps": 740000.0, "stride": 3, "most": 12,
			}},
			map[string]any{"name": "wuno96b", "health_path": "/health", "max_connections": 110, "protocol": "h1"},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": []string{clientKey}, "priority": 1}},
	})
	if err != nil {
		panic(err)
	}
	p.store.Put(configTopic, "config", value)
}

// streamRoute returns a route of model requests, serviceRoute one of plain requests.
func streamRoute(name, prefix string, attempts int, resumable bool, timeoutMS, aimMS, gapMS int) map[string]any {
	return map[string]any{
		"name": name, "host": routeHost, "path_prefix": prefix, "kind": "streaming", "timeout_ms": timeoutMS, "target_latency_ms": aimMS,
		"priority": 1, "service": "huvo11a", "max_attempts": attempts, "public": false, "sticky": true, "resumable": resumable, "gap_aim_ms": gapMS,
	}
}

func serviceRoute(name, prefix, kind string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": routeHost, "path_prefix": prefix, "kind": kind, "timeout_ms": 3000, "target_latency_ms": 300,
		"priority": 2, "service": "wuno96b", "max_attempts": attempts, "public": false,
	}
}

// beat writes the entry of a replica.
func (p *platform) beat(id string, entry map[string]any) {
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beats[id], p.listed[id] = time.Now(), true
	p.store.Put(serversTopic, id, value)
}

// storeCopy is a copy of the store, with the replicas that it lists.
type storeCopy struct {
	records logstore.Copy
	listed  map[string]bool
}

func (p *platform) copy() storeCopy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return storeCopy{records: p.store.Copy(), listed: maps.Clone(p.listed)}
}

// restore lets the store be away for a moment and come back from a copy. The operator and the
// replicas write again what they wrote since; silent replicas are removed again.
func (p *platform) restore(from storeCopy, away time.Duration, rewrite func()) {
	p.rec.printf("platform: the store is away")
	p.store.SetFault(logstore.FaultResetConnection)
	time.Sleep(away)
	p.mu.Lock()
	p.store.Restore(from.records)
	p.listed = maps.Clone(from.listed)
	for id := range p.listed {
		p.beats[id] = time.Now()
	}
	p.mu.Unlock()
	p.store.SetFault(logstore.FaultNone)
	p.rec.printf("platform: the store is back from a copy, era %d", p.store.Era())
	rewrite()
}

// expire removes the entries of replicas that are silent.
func (p *platform) expire() {
	for range time.Tick(50 * time.Millisecond) {
		p.mu.Lock()
		for id, at := range p.beats {
			if p.listed[id] && time.Since(at) > entryLife {
				p.listed[id] = false
				p.store.Put(serversTopic, id, nil)
				p.rec.printf("platform: entry %s removed", id)
			}
		}
		p.mu.Unlock()
	}
}

// gatewayProcess is an entry host.
type gatewayProcess struct {
	name, callers, readiness string
	command                  *exec.Cmd
	log                      *os.File
	ended                    chan struct{}
	settings                 gatewaySettings
}

// gatewaySettings are the fields of the platform's settings that the template uses.
type gatewaySettings struct {
	name, zone, ip    string
	callers, ready    string
	control, platform string
	seeds             []string
	memoryMB          int
	bootstrap         bool
}

var placeholder = regexp.MustCompile(`\{\{[a-z_.]+\}\}`)

// render fills in deploy/gateway.toml.
func (s gatewaySettings) render() (string, error) {
	text, err := os.ReadFile("deploy/gateway.toml")
	if err != nil {
		return "", err
	}
	out := string(text)
	quoted := make([]string, len(s.seeds))
	for i, seed := range s.seeds {
		quoted[i] = `"` + seed + `"`
	}
	for section, value := range map[string]string{`{{#seeds}}"{{.}}"{{,}}{{/seeds}}`: strings.Join(quoted, ",")} {
		out = strings.ReplaceAll(out, section, value)
	}
	fields := map[string]string{
		"node_name": s.name, "zone": s.zone, "bootstrap": fmt.Sprint(s.bootstrap), "listen.front": s.callers, "listen.ready": s.ready,
		"listen.control": s.control, "ip": s.ip, "platform.address": s.platform, "bounds.budget_ratio": "0.2", "bounds.budget_slack": "58",
		"bounds.budget_window_s": "10", "bounds.grace_s": "8", "limits.memory_mb": fmt.Sprint(s.memoryMB), "limits.link_mbps": "1000.0",
	}
	out = placeholder.ReplaceAllStringFunc(out, func(name string) string {
		value, known := fields[strings.Trim(name, "{}")]
		if !known {
			err = fmt.Errorf("the template has the unknown field %s", name)
		}
		return value
	})
	return out, err
}

// freeAddress returns an address with a free port.
func freeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// startGateways starts a gateway in each zone of the list.
func startGateways(rec *recorder, dir, platformAddress string, zones []string) ([]*gatewayProcess, error) {
	var all []gatewaySettings
	var seeds []string
	for i, zone := range zones {
		ip := fmt.Sprintf("127.%d.%d.%d", 40+os.Getpid()%150, 1+os.Getpid()/150%200, i+1)
		s := gatewaySettings{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: ip, platform: platformAddress, memoryMB: 284, bootstrap: true}
		for _, address := range []*string{&s.callers, &s.ready, &s.control} {
			var err error
			if *address, err = freeAddress(ip); err != nil {
				return nil, err
			}
		}
		if len(seeds) < 3 {
			seeds = append(seeds, s.control)
		}
		all = append(all, s)
	}
	var out []*gatewayProcess
	for _, s := range all {
		s.seeds = seeds
		g, err := startGateway(rec, dir, s)
		if err != nil {
			stopGateways(out)
			return nil, err
		}
		out = append(out, g)
	}
	return out, nil
}

// startGateway starts a process with the command of the deploy file.
func startGateway(rec *recorder, dir string, s gatewaySettings) (*gatewayProcess, error) {
	text, err := s.render()
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, s.name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	g := &gatewayProcess{name: s.name, callers: s.callers, readiness: s.ready, ended: make(chan struct{}), settings: s}
	if g.log, err = os.OpenFile(filepath.Join(dir, s.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return nil, err
	}
	g.command = exec.Command("target/wigeonsail", "gateway", "-c", path)
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir, "WIGEONSAIL_SETTINGS=" + path, "WIGEONSAIL_DUTIES="}
	g.command.Stdout, g.command.Stderr = g.log, g.log
	if err := g.command.Start(); err != nil {
		return nil, err
	}
	started.mu.Lock()
	started.all = append(started.all, g.command.Process)
	started.mu.Unlock()
	go func() {
		err := g.command.Wait()
		rec.printf("gateway %s: process ended: %v", g.name, err)
		close(g.ended)
	}()
	return g, nil
}

// started are the processes that were started.
var started struct {
	mu  sync.Mutex
	all []*os.Process
}

// killStarted kills all processes that were started.
func killStarted() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, process := range started.all {
		// One that has ended was waited for, and is not signaled.
		_ = process.Kill()
	}
}

// stopGateways ends the processes.
func stopGateways(all []*gatewayProcess) {
	for _, g := range all {
		_ = g.command.Process.Signal(syscall.SIGKILL)
	}
	for _, g := range all {
		<-g.ended
		_ = g.log.Close()
	}
}

// awaitReady waits until all gateways are ready, and then until they are in touch.
func awaitReady(all []*gatewayProcess) error {
	for _, g := range all {
		deadline := time.Now().Add(15 * time.Second)
		for !g.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(stableWindow + 2*time.Second)
	return nil
}

func (g *gatewayProcess) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.readiness+"/v1/ready", nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}
