package load

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// CompareOptions configures Compare.
type CompareOptions struct {
	Plan Plan
	// Direct is the endpoint, Host an entry host that forwards to it.
	Direct Target
	Host   Target
	// Rounds is how often the plan is run against Direct and Host, alternately.
	Rounds int
	// HostPID is the process ID of the host, whose CPU time is measured; 0 for no
	// measurement.
	HostPID int
}

// Comparison is the result of Compare.
type Comparison struct {
	Direct Results `json:"direct"`
	Host   Results `json:"host"`
	// The latency added by the host in milliseconds: the quantile through the
	// host minus the direct one.
	AddedFirstTokenP50 float64 `json:"added_first_token_p50_ms"`
	AddedFirstTokenP99 float64 `json:"added_first_token_p99_ms"`
	AddedBetweenP50    float64 `json:"added_between_tokens_p50_ms"`
	AddedBetweenP99    float64 `json:"added_between_tokens_p99_ms"`
}

// Compare runs the same plan directly against the endpoint and through the host.
// It alternates between them, so that both are measured under the same load of
// the machine. Each round has a seed of its own.
func Compare(ctx context.Context, opts CompareOptions) (Comparison, error) {
	direct, host := newRecorder(), newRecorder()
	cpu := time.Duration(0)
	for round := range opts.Rounds {
		plan := opts.Plan
		plan.Seed += uint64(round)
		runPlan(ctx, plan, []Target{opts.Direct}, direct)
		before, err := cpuTime(opts.HostPID)
		if err != nil {
			return Comparison{}, err
		}
		runPlan(ctx, plan, []Target{opts.Host}, host)
		after, err := cpuTime(opts.HostPID)
		if err != nil {
			return Comparison{}, err
		}
		cpu += after - before
	}
	return newComparison(direct.computeResults(), host.computeResults(), cpu), ctx.Err()
}

// newComparison computes a comparison. cpu is the CPU time that the host used.
func newComparison(direct, host Results, cpu time.Duration) Comparison {
	if host.Tokens > 0 {
		host.CPUMicrosPerToken = float64(cpu.Microseconds()) / float64(host.Tokens)
	}
	return Comparison{
		Direct:             direct,
		Host:               host,
		AddedFirstTokenP50: host.FirstTokenP50 - direct.FirstTokenP50,
		AddedFirstTokenP99: host.FirstTokenP99 - direct.FirstTokenP99,
		AddedBetweenP50:    host.BetweenP50 - direct.BetweenP50,
		AddedBetweenP99:    host.BetweenP99 - direct.BetweenP99,
	}
}

// cpuTimeUnit is the unit of the CPU times in /proc/PID/stat.
const cpuTimeUnit = 10 * time.Millisecond

// The indexes of fields in /proc/PID/stat, counted from 0 after the closing
// parenthesis of the command.
const (
	userTimeField   = 11
	systemTimeField = 12
)

// ProcessError is returned if the CPU time of a process cannot be read.
type ProcessError struct {
	PID   int
	Cause error
}

// Error implements error.
func (e *ProcessError) Error() string {
	return fmt.Sprintf("reading the CPU time of process %d: %v", e.PID, e.Cause)
}

// Unwrap returns the cause.
func (e *ProcessError) Unwrap() error { return e.Cause }

// cpuTime returns the user and system CPU time that a process has used, or 0 if
// pid is 0.
func cpuTime(pid int) (time.Duration, error) {
	if pid == 0 {
		return 0, nil
	}
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, &ProcessError{PID: pid, Cause: err}
	}
	text := string(data)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	user, err := strconv.Atoi(fields[userTimeField])
	if err != nil {
		return 0, &ProcessError{PID: pid, Cause: err}
	}
	system, err := strconv.Atoi(fields[systemTimeField])
	if err != nil {
		return 0, &ProcessError{PID: pid, Cause: err}
	}
	return time.Duration(user+system) * cpuTimeUnit, nil
}
