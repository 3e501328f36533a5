package port

import (
	"context"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// PeerAttempt is an attempt that another host asks this one to send.
type PeerAttempt struct {
	RoutedAttempt
	// Started identifies the start of the endpoint.
	Started int64
	// Sender is the host that has received the request from its caller.
	Sender model.HostID
	// Tier and Rank order requests for memory, as at the sender.
	Tier, Rank model.Tier
}

// AttemptSender sends attempts through other hosts to endpoints that this host cannot reach.
type AttemptSender interface {
	// SendAttempt has the host at a peer address send an attempt to its endpoint once, and
	// returns once the head of the endpoint's response has been received. The attempt is
	// canceled when ctx ends. Errors are *PeerAttemptError.
	SendAttempt(ctx context.Context, address string, attempt PeerAttempt) (EndpointResponse, error)
}

// AttemptHandler sends attempts for other hosts.
type AttemptHandler interface {
	// AdmitAttempt accepts an attempt and holds the memory for it before its body is read. The
	// hold must be released after the attempt. Errors are *PeerAttemptError.
	AdmitAttempt(bodyBytes int64) (MemoryHold, error)
	// HandleAttempt sends an attempt to its endpoint, at most once and never through a further
	// host. The Memory of its call is the hold of AdmitAttempt. The response must be closed.
	// Errors are *PeerAttemptError.
	HandleAttempt(ctx context.Context, attempt PeerAttempt) (EndpointResponse, error)
}

// PeerAttemptError is the error of an attempt that was sent through another host.
type PeerAttemptError struct {
	// Outcome states whether the attempt may have run.
	Outcome model.Outcome
	// Refused reports that the other host did not try the endpoint: it is leaving, has no
	// memory, or does not serve such attempts. Unreachable reports that it could not connect to
	// the endpoint. With neither, the endpoint failed or the path between the hosts broke.
	Refused, Unreachable bool
	// PathBroken reports that the path between the hosts failed, so that nothing is known of
	// the endpoint.
	PathBroken bool
	Cause      error
}

// Error implements error.
func (e *PeerAttemptError) Error() string {
	return "attempt through another host (" + e.Outcome.String() + "): " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *PeerAttemptError) Unwrap() error { return e.Cause }
