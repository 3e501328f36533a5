package soak

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

const (
	// hostMemoryMB is the memory that a host may hold, hostRequestsMB the part of it for the
	// requests in progress, which fits a few long bodies.
	hostMemoryMB   = 96
	hostRequestsMB = 4
)

// checkMemory checks that no host holds more memory than it may.
func (c *checker) checkMemory() {
	for _, h := range c.environment.hosts {
		if resident := residentMB(h.pid()); resident > hostMemoryMB {
			c.recordViolation("%s holds more than %d MB of memory", h.name, hostMemoryMB)
		}
	}
}

// pid returns the ID of the process of the host; 0 if it was not started.
func (h *hostProcess) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command == nil || h.command.Process == nil {
		return 0
	}
	return h.command.Process.Pid
}

// residentMB returns the memory that a process holds; 0 if it does not run.
func residentMB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return kilobytes >> 10
		}
	}
	return 0
}
