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
	// Direct is the endpoint itself, Host an entry host before it.
	Direct Target
	Host   Target
	// Rounds is the number of times that both are driven, in turn.
	Rounds int
	// HostPID is the host's process, whose processor time is read; 0 for none.
	HostPID int
}

// Comparison is the result of Compare.
type Comparison struct {
	Direct Figures `json:"direct"`
	Host   Figures `json:"host"`
	// Added times in milliseconds: the host's figure less the direct one.
	AddedFirstTokenP50 float64 `json:"added_first_token_p50_ms"`
	AddedFirstTokenP99 float64 `json:"added_first_token_p99_ms"`
	AddedBetweenP50    float64 `json:"added_between_tokens_p50_ms"`
	AddedBetweenP99    float64 `json:"added_between_tokens_p99_ms"`
}

// Compare drives the same plan straight to the endpoint and through the host,
// alternating, so that both meet the same state of the machine.
func Compare(ctx context.Context, opts CompareOptions) (Comparison, error) {
	direct, host := newMeasure(), newMeasure()
	cpu := time.Duration(0)
	for round := range opts.Rounds {
		plan := opts.Plan
		plan.Seed += uint64(round)
		drive(ctx, plan, []Target{opts.Direct}, direct)
		before, err := cpuTime(opts.HostPID)
		if err != nil {
			return Comparison{}, err
		}
		drive(ctx, plan, []Target{opts.Host}, host)
		after, err := cpuTime(opts.HostPID)
		if err != nil {
			return Comparison{}, err
		}
		cpu += after - before
	}
	return compared(direct.result(), host.result(), cpu), ctx.Err()
}

func compared(direct, host Figures, cpu time.Duration) Comparison {
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

// clockTick is the unit of processor times in /proc.
const clockTick = 10 * time.Millisecond

// The fields of /proc/PID/stat behind the command's closing parenthesis.
const (
	fieldUserTime   = 11
	fieldSystemTime = 12
)

// ProcessError tells that a process's figures could not be read.
type ProcessError struct {
	PID   int
	Cause error
}

// Error implements error.
func (e *ProcessError) Error() string {
	return fmt.Sprintf("processor time of process %d: %v", e.PID, e.Cause)
}

// Unwrap returns the cause.
func (e *ProcessError) Unwrap() error { return e.Cause }

// cpuTime returns the processor time that a process has used; 0 for process 0.
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
	user, err := strconv.Atoi(fields[fieldUserTime])
	if err != nil {
		return 0, &ProcessError{PID: pid, Cause: err}
	}
	system, err := strconv.Atoi(fields[fieldSystemTime])
	if err != nil {
		return 0, &ProcessError{PID: pid, Cause: err}
	}
	return time.Duration(user+system) * clockTick, nil
}
