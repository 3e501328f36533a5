package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/standin/cut"
	"github.com/wigeonsail/wigeonsail/internal/standin/users"
)

const (
	// grace is the time within which a host must exit after SIGTERM.
	grace = 3 * time.Second
	// startupTime is the time within which a process can receive signals.
	startupTime = time.Second
	// linger is the time after SIGTERM during which a host still accepts
	// requests.
	linger = 300 * time.Millisecond
)

// hostProcess is a gateway process, with its settings and its link to the
// store.
type hostProcess struct {
	environment      *environment
	name             string
	settingsPath     string
	callerAddress    string
	readinessAddress string
	storeLink        *cut.Relay
	// restarting is true while a restart is in progress. Only the goroutine
	// that injects faults uses it.
	restarting bool
	// old reports that the process is started with the older build. Only that goroutine uses it
	// after the start of the run.
	old bool

	mu      sync.Mutex
	command *exec.Cmd
	log     *os.File
	// exited is closed when the process has exited. endedEarly reports whether SIGHUP has
	// ended it before it could receive signals.
	exited     chan struct{}
	endedEarly bool
}

// newHostProcess returns a host that isn't started yet, and writes its settings
// file.
func newHostProcess(env *environment, index int, storeAddress string, store *cut.Relay) (*hostProcess, error) {
	var listen []string
	for range 4 {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		listen = append(listen, address)
	}
	h := &hostProcess{
		environment: env, name: fmt.Sprintf("host-%d", index), old: index < env.opts.oldHosts(), callerAddress: listen[0], readinessAddress: listen[1], storeLink: store,
		settingsPath: filepath.Join(env.opts.Dir, fmt.Sprintf("host-%d.toml", index)),
	}
	seeds := ""
	if index > 0 {
		first, err := os.ReadFile(env.hosts[0].settingsPath)
		if err != nil {
			return nil, err
		}
		seeds = peerAddress(string(first))
	}
	text := fmt.Sprintf(`host = %q
domain = "north"
first_start = true

[listen]
callers = %q
readiness = %q
peers = %q
metrics = %q

[platform]
address = %q

[peers]
secret = "secret-of-the-soak"
seeds = [%s]

[shutdown]
grace = %q
linger = %q

[limits]
memory_mb = %d
requests_mb = %d
`, h.name, listen[0], listen[1], listen[2], listen[3], storeAddress, seeds, grace, linger, hostMemoryMB, hostRequestsMB)
	return h, os.WriteFile(h.settingsPath, []byte(text), 0o600)
}

// peerAddress returns the quoted peer address in the text of a settings file,
// or "" if there is none.
func peerAddress(settings string) string {
	for line := range strings.Lines(settings) {
		if address, found := strings.CutPrefix(strings.TrimSpace(line), "peers = "); found {
			return address
		}
	}
	return ""
}

const (
	// firstPort and portCount are the range of the hosts' ports. It lies below
	// the ephemeral ports, so that no outgoing connection takes a host's port
	// while the host is down.
	firstPort = 12000
	portCount = 20000
	// maxPortAttempts is the maximum number of ports to try.
	maxPortAttempts = 100
)

var errNoFreePort = errors.New("no free port found for a host")

// freeAddress returns a loopback address with a port that isn't in use. The
// port is fixed in advance so that a host keeps its address over restarts.
func freeAddress() (string, error) {
	for range maxPortAttempts {
		// The port is random, so that concurrent soaks rarely choose the same
		// one.
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return "", errNoFreePort
}

// start starts the process.
func (h *hostProcess) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(h.environment.opts.Dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(h.binary(), "gateway", "-c", h.settingsPath)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited, started := make(chan struct{}), time.Now()
	h.command, h.log, h.exited, h.endedEarly = command, log, exited, false
	go func() {
		// The soak itself ends processes, and the checks find the effects of a crash.
		if err := command.Wait(); err != nil {
			h.environment.trace("%s ended: %v", h.name, err)
		}
		status, ok := command.ProcessState.Sys().(syscall.WaitStatus)
		h.mu.Lock()
		h.endedEarly = ok && status.Signaled() && status.Signal() == syscall.SIGHUP && time.Since(started) < startupTime
		h.mu.Unlock()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process if it is running.
func (h *hostProcess) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command == nil {
		return
	}
	select {
	case <-h.exited:
	default:
		// The process may exit concurrently.
		_ = h.command.Process.Signal(s)
	}
}

// wait waits until the process has exited.
func (h *hostProcess) wait() {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// isRunning reports whether the process is running.
func (h *hostProcess) isRunning() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.exited == nil {
		return false
	}
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// hasEndedEarly reports whether SIGHUP has ended the process during its startup.
func (h *hostProcess) hasEndedEarly() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.endedEarly
}

// kill kills the process and waits for its exit. It resumes a paused process
// first.
func (h *hostProcess) kill() {
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	h.wait()
}

// isReady reports whether the host responds that it is ready.
func (h *hostProcess) isReady(ctx context.Context) bool {
	return users.IsReady(ctx, h.readinessAddress)
}
