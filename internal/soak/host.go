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
	// grace is the time that a host has to end after SIGTERM, linger that in which
	// it goes on taking requests.
	grace  = 3 * time.Second
	linger = 300 * time.Millisecond
)

// hostProcess is one gateway process.
type hostProcess struct {
	env              *environment
	name             string
	settingsPath     string
	callerAddress    string
	readinessAddress string
	storeLink        *cut.Relay
	// restarting says that the process was told to end and is to be started
	// again. Only the goroutine that injects faults uses it.
	restarting bool

	mu      sync.Mutex
	command *exec.Cmd
	log     *os.File
	// exited is closed when the process has ended.
	exited chan struct{}
}

// newHostProcess writes the settings of a host.
func newHostProcess(w *environment, index int, storeAddress string, store *cut.Relay) (*hostProcess, error) {
	var listen []string
	for range 4 {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		listen = append(listen, address)
	}
	h := &hostProcess{
		env: w, name: fmt.Sprintf("host-%d", index), callerAddress: listen[0], readinessAddress: listen[1], storeLink: store,
		settingsPath: filepath.Join(w.opts.Dir, fmt.Sprintf("host-%d.toml", index)),
	}
	seeds := ""
	if index > 0 {
		first, err := os.ReadFile(w.hosts[0].settingsPath)
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
`, h.name, listen[0], listen[1], listen[2], listen[3], storeAddress, seeds, grace, linger)
	return h, os.WriteFile(h.settingsPath, []byte(text), 0o600)
}

// peersOf returns the peer address in a file of settings, quoted.
func peerAddress(settings string) string {
	for line := range strings.Lines(settings) {
		if address, found := strings.CutPrefix(strings.TrimSpace(line), "peers = "); found {
			return address
		}
	}
	return ""
}

const (
	// firstPort and ports bound the hosts' ports. They lie below those that the
	// system gives to outgoing connections, which would take a host's port while
	// it is down.
	firstPort = 12000
	portCount = 20000
	// portTries bounds the search for a free port.
	maxPortAttempts = 100
)

var errNoFreePort = errors.New("no free port was found")

// freeAddress returns a loopback address that nobody uses now, so that a host
// keeps its address over restarts.
func freeAddress() (string, error) {
	for range maxPortAttempts {
		// Soaks that run beside this one draw others.
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
	log, err := os.OpenFile(filepath.Join(h.env.opts.Dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(h.env.opts.Binary, "gateway", "-c", h.settingsPath)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.command, h.log, h.exited = command, log, exited
	go func() {
		// How a process ends is the soak's own doing, or is found by the checks.
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process if it lives.
func (h *hostProcess) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command == nil {
		return
	}
	select {
	case <-h.exited:
	default:
		// The process may end at this moment.
		_ = h.command.Process.Signal(s)
	}
}

// wait waits until the process has ended.
func (h *hostProcess) wait() {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// running says that the process lives.
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

// end kills the process.
func (h *hostProcess) kill() {
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	h.wait()
}

// ready asks the host whether it is ready.
func (h *hostProcess) isReady(ctx context.Context) bool {
	return users.IsReady(ctx, h.readinessAddress)
}
