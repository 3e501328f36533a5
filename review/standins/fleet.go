package main

import (
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

// gatewayBinary is what the build line of the deploy file builds.
const gatewayBinary = "target/wigeonsail"

// gateway is a process of the project.
type gateway struct {
	name    string
	callers string
	ready   string
	peers   string
	metrics string
	cmd     *exec.Cmd
	exited  chan struct{}
}

// settings returns the settings of a gateway: the template deploy/gateway.toml, filled in.
func (g *gateway) settings(template, zone, storeAddress string, seeds []string, slack int) string {
	quoted := make([]string, len(seeds))
	for i, seed := range seeds {
		quoted[i] = `"` + seed + `"`
	}
	replace := strings.NewReplacer(
		"{{node_name}}", g.name, "{{zone}}", zone, "{{bootstrap}}", "true",
		"{{listen.front}}", g.callers, "{{listen.ready}}", g.ready, "{{listen.control}}", g.peers,
		"{{ip}}:9464", g.metrics, "{{platform.address}}", storeAddress,
		`{{#seeds}}"{{.}}"{{,}}{{/seeds}}`, strings.Join(quoted, ","),
		"{{bounds.budget_ratio}}", "0.2", "{{bounds.budget_slack}}", fmt.Sprint(slack), "{{bounds.budget_window_s}}", "10",
		"{{bounds.grace_s}}", "8", "{{limits.memory_mb}}", "134", "{{limits.link_mbps}}", "1000",
	)
	return replace.Replace(template)
}

// Ports for gateways are taken from below those that the system gives to connections.
const (
	firstPort = 20000
	portCount = 12000
)

var usedPorts = make(map[int]bool)

// freeAddress returns a loopback address with a port that is free now and was not returned
// before.
func freeAddress() string {
	for range portCount {
		port := firstPort + rand.IntN(portCount)
		if usedPorts[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		listener.Close()
		usedPorts[port] = true
		return address
	}
	fail("no free port")
	return ""
}

// startGateways starts n gateways in zones, one after the other, as the deploy file says.
func startGateways(dir, storeAddress string, n int, zones []string, slack int) []*gateway {
	template, err := os.ReadFile("deploy/gateway.toml")
	if err != nil {
		fail("cannot read the template of the settings: %v", err)
	}
	var out []*gateway
	var seeds []string
	for i := range n {
		g := &gateway{
			name: fmt.Sprintf("front-%d", i+1), callers: freeAddress(), ready: freeAddress(),
			peers: freeAddress(), metrics: freeAddress(),
		}
		if len(seeds) < 3 {
			seeds = append(seeds, g.peers)
		}
		out = append(out, g)
	}
	for i, g := range out {
		g.start(dir, g.settings(string(template), zones[i%len(zones)], storeAddress, seeds, slack))
	}
	return out
}

// settingsPath returns the path of the settings of a gateway.
func (g *gateway) settingsPath(dir string) string { return filepath.Join(dir, g.name+".toml") }

func (g *gateway) start(dir, settings string) {
	path := g.settingsPath(dir)
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		fail("cannot write the settings: %v", err)
	}
	output, err := os.OpenFile(filepath.Join(dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("cannot create the log: %v", err)
	}
	g.cmd = exec.Command(gatewayBinary, "gateway", "-c", path)
	g.cmd.Env = append(os.Environ(), "WIGEONSAIL_SETTINGS="+path)
	g.cmd.Stdout, g.cmd.Stderr = output, output
	// The gateway ends with this process, also if that is killed.
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		fail("cannot start %s: %v", gatewayBinary, err)
	}
	exited, cmd := make(chan struct{}), g.cmd
	g.exited = exited
	go func() {
		_ = cmd.Wait()
		output.Close()
		close(exited)
	}()
	startedMu.Lock()
	defer startedMu.Unlock()
	started = append(started, process{cmd, exited})
}

// process is a process that the case has started.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// started are the processes to end.
var (
	startedMu sync.Mutex
	started   []process
)

func killAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, p := range started {
		select {
		case <-p.exited:
		default:
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
	}
}

// waitReady waits until all gateways are ready.
func waitReady(gateways []*gateway) {
	deadline := time.Now().Add(15 * time.Second)
	for _, g := range gateways {
		for {
			res, err := http.Get("http://" + g.ready + "/v1/ready")
			if err == nil {
				res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				fail("%s is not ready", g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// serve serves a handler on a free loopback port and returns its address.
func serve(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("no free port: %v", err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

// newID returns a new ID of a request or an instance.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
