package host

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/configstate"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

const (
	// publishTimeout bounds a publication, including appends whose responses are
	// lost.
	publishTimeout = 20 * time.Second
	// republishAfter is the time without a result after which a publication is
	// appended again under the same publish id.
	republishAfter = 2 * time.Second
	// publishRetryAfter is the retry delay to report while the log is
	// unreachable.
	publishRetryAfter = 5 * time.Second
)

// Publish validates a configuration, appends it to the log and waits until reading
// the log shows whether it was accepted. It implements port.OperatorService.
func (h *Host) Publish(ctx context.Context, call port.PublishRequest) (port.PublishResult, error) {
	cfg, err := checkConfig(call.Body)
	if err != nil {
		return port.PublishResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	result := make(chan configstate.Change, 1)
	reg, err := queryControl(ctx, h, func(_ time.Time, c *control) publishRegistration { return c.registerPublisher(call, result) })
	if err != nil {
		return port.PublishResult{}, err
	}
	defer h.loop.post(unregisterPublisherEvent{id: call.ID, result: result})
	if reg.err != nil {
		return port.PublishResult{}, reg.err
	}
	if reg.known != nil {
		return publishResult(*reg.known, call.ID, cfg), nil
	}
	change, err := h.appendUntilSettled(ctx, call, result)
	if err != nil {
		return port.PublishResult{}, err
	}
	return publishResult(change, call.ID, cfg), nil
}

// checkConfig parses and validates a configuration.
func checkConfig(body []byte) (*opconfig.Config, error) {
	cfg, err := opconfig.Parse(body)
	if err != nil {
		return nil, &port.OperatorError{Code: port.OperatorInvalid, Message: err.Error(), Outcome: model.OutcomeNotRun, Cause: err}
	}
	err = cfg.Validate()
	var invalid *opconfig.ValidationError
	if errors.As(err, &invalid) {
		return nil, &port.OperatorError{
			Code: port.OperatorInvalid, Message: "the configuration is wrong", Outcome: model.OutcomeNotRun,
			Fields: invalid.Fields, Cause: err,
		}
	}
	return cfg, nil
}

// publishRegistration is the control loop's reply to a publisher. If both fields
// are nil, the publisher is registered and may append its record.
type publishRegistration struct {
	// known is the result, if it is known without an append.
	known *configstate.Change
	// err is the reason why publishing is not possible now.
	err error
}

// registerPublisher registers a channel for the result of a publication, unless the
// result is already known or this host cannot publish now. A base other than the
// current version is a known conflict.
func (c *control) registerPublisher(call port.PublishRequest, result chan<- configstate.Change) publishRegistration {
	state := &c.config.state
	for _, entry := range state.History() {
		if entry.PublishID == call.ID {
			return publishRegistration{known: acceptedChange(state, entry)}
		}
	}
	if stopped := state.Stopped(); stopped != nil {
		return publishRegistration{err: unavailableError(stopped.Error(), 0, stopped)}
	}
	if !state.Settled() || !c.config.logReachable {
		return publishRegistration{err: unavailableError("this host cannot follow the platform's log now", publishRetryAfter, nil)}
	}
	if call.Base != state.Version() {
		return publishRegistration{known: &configstate.Change{Kind: configstate.ChangeConflict, Current: state.Current()}}
	}
	c.config.publishers[call.ID] = result
	return publishRegistration{}
}

// acceptedChange returns the change for a version that was accepted earlier.
func acceptedChange(state *configstate.State, entry configstate.HistoryEntry) *configstate.Change {
	return &configstate.Change{
		Kind: configstate.ChangeAccepted,
		Record: &configstate.Record{
			Version: entry.Version, PublishID: entry.PublishID, Author: entry.Author, Note: entry.Note, At: entry.At,
		},
		Current: state.Current(),
	}
}

// unregisterPublisherEvent ends the registration of a publisher.
type unregisterPublisherEvent struct {
	id     string
	result chan<- configstate.Change
}

func (e unregisterPublisherEvent) apply(_ time.Time, c *control) {
	if c.config.publishers[e.id] == e.result {
		delete(c.config.publishers, e.id)
	}
}

// appendUntilSettled appends the record, repeatedly if necessary, until reading the
// log shows the result. Duplicates under one publish id are harmless.
func (h *Host) appendUntilSettled(ctx context.Context, call port.PublishRequest, result chan configstate.Change) (configstate.Change, error) {
	record := configstate.Record{
		Schema: configstate.RecordSchema, PublishID: call.ID, Base: call.Base, Version: call.Base + 1,
		Author: call.Author, Note: call.Note, At: time.Now().UTC(), Body: call.Body,
	}
	data, err := record.Encode()
	if err != nil {
		return configstate.Change{}, unavailableError(err.Error(), 0, err)
	}
	appended := false
	for {
		_, err := h.opts.PlatformLog.Append(ctx, ConfigStream, data)
		appended = appended || !isKnownNotAppended(err)
		if err != nil && !appended {
			return configstate.Change{}, unavailableError("the platform's log took nothing: "+err.Error(), publishRetryAfter, err)
		}
		timer := time.NewTimer(republishAfter)
		select {
		case change := <-result:
			timer.Stop()
			return change, nil
		case <-ctx.Done():
			timer.Stop()
			return configstate.Change{}, unsettledError(ctx.Err())
		case <-timer.C:
		}
		reg, err := queryControl(ctx, h, func(_ time.Time, c *control) publishRegistration { return c.registerPublisher(call, result) })
		if err == nil && reg.known != nil {
			return *reg.known, nil
		}
	}
}

// isKnownNotAppended reports whether err shows that an append had no effect.
func isKnownNotAppended(err error) bool {
	var platform *port.PlatformError
	return errors.As(err, &platform) && platform.Outcome == model.OutcomeNotRun
}

// publishResult converts the change of a publication to its result. For a conflict,
// it includes the differences between the current version and cfg.
func publishResult(change configstate.Change, id string, cfg *opconfig.Config) port.PublishResult {
	if change.Record != nil && change.Record.PublishID == id && change.Kind != configstate.ChangeConflict {
		return port.PublishResult{Accepted: true, Current: describeRecord(change.Record)}
	}
	if change.Current == nil {
		return port.PublishResult{}
	}
	result := port.PublishResult{Current: describeRecord(change.Current.Record)}
	if current, err := opconfig.Parse(change.Current.Record.Body); err == nil {
		result.Changes = opconfig.Diff(current, cfg)
	}
	return result
}

// describeRecord returns the record's version and publication without its body.
func describeRecord(rec *configstate.Record) port.ConfigVersion {
	return port.ConfigVersion{
		Version: rec.Version, PublishID: rec.PublishID, Author: rec.Author, Note: rec.Note, At: rec.At,
	}
}

// unavailableError is the error for a call that had no effect and may be retried
// after retryAfter; 0 if a retry does not help.
func unavailableError(message string, retryAfter time.Duration, cause error) *port.OperatorError {
	return &port.OperatorError{
		Code: port.OperatorUnavailable, Message: message, Outcome: model.OutcomeNotRun, RetryAfter: retryAfter, Cause: cause,
	}
}

// unsettledError is the error for a publication whose result is unknown.
func unsettledError(cause error) *port.OperatorError {
	return &port.OperatorError{
		Code:       port.OperatorUnsettled,
		Message:    "the log did not show the publication in time; publish again with the same publish id",
		Outcome:    model.OutcomeUnknown,
		RetryAfter: publishRetryAfter,
		Cause:      cause,
	}
}

// maxDrainPublications bounds the number of publications for one drain when other
// publications are accepted in between.
const maxDrainPublications = 3

// DrainEndpoint publishes the configuration in force with the endpoint's leaving
// setting changed. After a conflict it retries from the newer version, since the
// change applies to any version. It implements port.OperatorService.
func (h *Host) DrainEndpoint(ctx context.Context, call port.DrainRequest) (port.PublishResult, error) {
	var result port.PublishResult
	for range maxDrainPublications {
		current, err := h.Config(ctx, 0)
		if err != nil {
			return result, err
		}
		body, err := setEndpointLeaving(current.Body, call.Endpoint, call.Leaving)
		if err != nil {
			return result, err
		}
		result, err = h.Publish(ctx, port.PublishRequest{
			ID: call.ID, Base: current.Version, Author: call.Author, Note: call.Note, Body: body,
		})
		if err != nil || result.Accepted {
			return result, err
		}
	}
	return result, nil
}

// setEndpointLeaving returns the configuration with the endpoint's leaving setting
// changed.
func setEndpointLeaving(body []byte, name model.EndpointName, leaving bool) ([]byte, error) {
	cfg, err := opconfig.Parse(body)
	if err != nil {
		return nil, unavailableError("the configuration in force cannot be read: "+err.Error(), 0, err)
	}
	for i := range cfg.Endpoints {
		if cfg.Endpoints[i].Name != name {
			continue
		}
		cfg.Endpoints[i].Leaving = leaving
		return opconfig.Marshal(cfg)
	}
	return nil, &port.OperatorError{
		Code: port.OperatorNotFound, Message: fmt.Sprintf("no endpoint %q is configured", name), Outcome: model.OutcomeNotRun,
	}
}
