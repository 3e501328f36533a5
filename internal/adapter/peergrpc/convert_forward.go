package peergrpc

import (
	"errors"
	"time"

	"github.com/wigeonsail/wigeonsail/api/peer"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// forwardToWire returns the wire form of a call. It encodes the remaining time
// instead of the deadline, since the clocks of hosts differ.
func forwardToWire(c port.ForwardCall, now time.Time) *peer.ForwardRequest {
	req := c.Request
	return &peer.ForwardRequest{
		Id:          string(req.ID),
		Class:       string(req.Class),
		Account:     string(req.Account),
		Pool:        string(req.Pool),
		Model:       string(req.Model),
		Prefix:      req.Prefix,
		TimeLeftUs:  req.Deadline.Sub(now).Microseconds(),
		Attempt:     int32(req.Attempt),
		Avoid:       convert(req.Avoid, func(e model.EndpointName) string { return string(e) }),
		Key:         c.Key,
		Method:      c.Method,
		Path:        c.Path,
		ContentType: c.ContentType,
		Body:        c.Body,
		Stream:      c.Stream,
		Permitted:   c.Permitted,
	}
}

func forwardFromWire(r *peer.ForwardRequest, now time.Time) port.ForwardCall {
	return port.ForwardCall{
		Request: model.Request{
			ID:        model.RequestID(r.GetId()),
			Class:     model.ClassName(r.GetClass()),
			Account:   model.AccountName(r.GetAccount()),
			Pool:      model.PoolName(r.GetPool()),
			Model:     model.ModelName(r.GetModel()),
			Prefix:    r.GetPrefix(),
			Arrived:   now,
			Deadline:  now.Add(time.Duration(r.GetTimeLeftUs()) * time.Microsecond),
			Attempt:   model.Attempt(r.GetAttempt()),
			Avoid:     convert(r.GetAvoid(), func(s string) model.EndpointName { return model.EndpointName(s) }),
			Forwarded: true,
		},
		Key:         r.GetKey(),
		Method:      r.GetMethod(),
		Path:        r.GetPath(),
		ContentType: r.GetContentType(),
		Body:        r.GetBody(),
		Stream:      r.GetStream(),
		Permitted:   r.GetPermitted(),
	}
}

func partToWire(p port.ForwardPart) *peer.ForwardPart {
	return &peer.ForwardPart{
		Status:      int32(p.Status),
		ContentType: p.ContentType,
		Data:        p.Data,
		Tokens:      int64(p.Tokens),
	}
}

func partFromWire(p *peer.ForwardPart) port.ForwardPart {
	return port.ForwardPart{
		Status:      int(p.GetStatus()),
		ContentType: p.GetContentType(),
		Data:        p.GetData(),
		Tokens:      int(p.GetTokens()),
	}
}

// failureToWire returns the wire form of a failed forward. The outcome is unknown
// if the error does not state it.
func failureToWire(err error) *peer.ForwardPart {
	failure := &peer.EndpointFailure{Cause: err.Error()}
	var known *port.EndpointError
	if errors.As(err, &known) {
		failure.Outcome = outcomeToWire(known.Outcome)
		failure.Status = int32(known.Status)
		failure.RetryAfterMs = known.RetryAfter.Milliseconds()
		if known.Cause != nil {
			failure.Cause = known.Cause.Error()
		}
	}
	return &peer.ForwardPart{Failure: failure}
}

func failureFromWire(f *peer.EndpointFailure) *port.EndpointError {
	return &port.EndpointError{
		Outcome:    outcomeFromWire(f.GetOutcome()),
		Status:     int(f.GetStatus()),
		RetryAfter: time.Duration(f.GetRetryAfterMs()) * time.Millisecond,
		Cause:      errors.New(f.GetCause()),
	}
}

func outcomeToWire(o model.Outcome) peer.Outcome {
	switch o {
	case model.OutcomeNotRun:
		return peer.Outcome_OUTCOME_NOT_RUN
	case model.OutcomeRan:
		return peer.Outcome_OUTCOME_RAN
	default:
		return peer.Outcome_OUTCOME_UNKNOWN
	}
}

func outcomeFromWire(o peer.Outcome) model.Outcome {
	switch o {
	case peer.Outcome_OUTCOME_NOT_RUN:
		return model.OutcomeNotRun
	case peer.Outcome_OUTCOME_RAN:
		return model.OutcomeRan
	default:
		return model.OutcomeUnknown
	}
}
