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
	// publishTimeout bounds a publication, lost answers included.
	publishTimeout = 20 * time.Second
	// publishAgainAfter is the time without an answer after which a
	// publication is appended again under the same publish id.
	publishAgainAfter = 2 * time.Second
	// publishRetryAfter is when to come back where the log is out of reach.
	publishRetryAfter = 5 * time.Second
)

// Publish checks a configuration, appends it to the log and waits until the
// log tells what became of it.
func (h *Host) Publish(ctx context.Context, call port.PublishRequest) (port.PublishResult, error) {
	cfg, err := checkConfig(call.Body)
	if err != nil {
		return port.PublishResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	fate := make(chan configstate.Change, 1)
	start, err := ask(ctx, h, func(_ time.Time, c *control) publishStart { return c.startPublish(call, fate) })
	if err != nil {
		return port.PublishResult{}, err
	}
	defer h.loop.post(endPublishEvent{id: call.ID, fate: fate})
	if start.err != nil {
		return port.PublishResult{}, start.err
	}
	if start.known != nil {
		return publishResult(*start.known, call.ID, cfg), nil
	}
	change, err := h.appendUntilSettled(ctx, call, fate)
	if err != nil {
		return port.PublishResult{}, err
	}
	return publishResult(change, call.ID, cfg), nil
}

// checkConfig refuses bodies that are no valid configuration.
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

// publishStart is what the control loop knows before the append.
type publishStart struct {
	// known is set when the fate is known without an append.
	known *configstate.Change
	err   error
}

func (c *control) startPublish(call port.PublishRequest, fate chan<- configstate.Change) publishStart {
	state := &c.config.state
	for _, entry := range state.History() {
		if entry.PublishID == call.ID {
			return publishStart{known: acceptedBefore(state, entry)}
		}
	}
	if stopped := state.Stopped(); stopped != nil {
		return publishStart{err: unavailable(stopped.Error(), 0, stopped)}
	}
	if !state.Settled() || !c.config.logReachable {
		return publishStart{err: unavailable("this host cannot follow the platform's log now", publishRetryAfter, nil)}
	}
	if call.Base != state.Version() {
		return publishStart{known: &configstate.Change{Kind: configstate.ChangeConflict, Current: state.Current()}}
	}
	c.config.published[call.ID] = fate
	return publishStart{}
}

func acceptedBefore(state *configstate.State, entry configstate.Entry) *configstate.Change {
	return &configstate.Change{
		Kind: configstate.ChangeAccepted,
		Record: &configstate.Record{
			Version: entry.Version, PublishID: entry.PublishID, Author: entry.Author, Note: entry.Note, At: entry.At,
		},
		Current: state.Current(),
	}
}

// endPublishEvent forgets a publisher.
type endPublishEvent struct {
	id   string
	fate chan<- configstate.Change
}

func (e endPublishEvent) apply(_ time.Time, c *control) {
	if c.config.published[e.id] == e.fate {
		delete(c.config.published, e.id)
	}
}

// appendUntilSettled appends the record until the log shows what became of
// it. Doubles under one publish id are harmless.
func (h *Host) appendUntilSettled(ctx context.Context, call port.PublishRequest, fate chan configstate.Change) (configstate.Change, error) {
	record := configstate.Record{
		Schema: configstate.RecordSchema, PublishID: call.ID, Base: call.Base, Version: call.Base + 1,
		Author: call.Author, Note: call.Note, At: time.Now().UTC(), Body: call.Body,
	}
	data, err := record.Encode()
	if err != nil {
		return configstate.Change{}, unavailable(err.Error(), 0, err)
	}
	appended := false
	for {
		_, err := h.opts.PlatformLog.Append(ctx, ConfigStream, data)
		appended = appended || !provesNothingAppended(err)
		if err != nil && !appended {
			return configstate.Change{}, unavailable("the platform's log took nothing: "+err.Error(), publishRetryAfter, err)
		}
		timer := time.NewTimer(publishAgainAfter)
		select {
		case change := <-fate:
			timer.Stop()
			return change, nil
		case <-ctx.Done():
			timer.Stop()
			return configstate.Change{}, unsettled(ctx.Err())
		case <-timer.C:
		}
		start, err := ask(ctx, h, func(_ time.Time, c *control) publishStart { return c.startPublish(call, fate) })
		if err == nil && start.known != nil {
			return *start.known, nil
		}
	}
}

// provesNothingAppended says that a failed append had no effect.
func provesNothingAppended(err error) bool {
	var platform *port.PlatformError
	return errors.As(err, &platform) && platform.Outcome == model.OutcomeNotRun
}

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

func describeRecord(rec *configstate.Record) port.ConfigVersion {
	return port.ConfigVersion{
		Version: rec.Version, PublishID: rec.PublishID, Author: rec.Author, Note: rec.Note, At: rec.At,
	}
}

func unavailable(message string, retryAfter time.Duration, cause error) *port.OperatorError {
	return &port.OperatorError{
		Code: port.OperatorUnavailable, Message: message, Outcome: model.OutcomeNotRun, RetryAfter: retryAfter, Cause: cause,
	}
}

func unsettled(cause error) *port.OperatorError {
	return &port.OperatorError{
		Code:       port.OperatorUnsettled,
		Message:    "the log did not show the publication in time; publish again with the same publish id",
		Outcome:    model.OutcomeUnknown,
		RetryAfter: publishRetryAfter,
		Cause:      cause,
	}
}

// drainTries bounds the publications of one drain that others overtake.
const drainTries = 3

// DrainEndpoint publishes the configuration in force with the endpoint marked.
// It starts again from a newer version, since the mark fits any.
func (h *Host) DrainEndpoint(ctx context.Context, call port.DrainRequest) (port.PublishResult, error) {
	var result port.PublishResult
	for range drainTries {
		current, err := h.Config(ctx, 0)
		if err != nil {
			return result, err
		}
		body, err := markLeaving(current.Body, call.Endpoint, call.Leaving)
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

func markLeaving(body []byte, name model.EndpointName, leaving bool) ([]byte, error) {
	cfg, err := opconfig.Parse(body)
	if err != nil {
		return nil, unavailable("the configuration in force cannot be read: "+err.Error(), 0, err)
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
