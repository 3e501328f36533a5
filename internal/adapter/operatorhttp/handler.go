package operatorhttp

import (
	"context"

	"github.com/apex/log"

	"github.com/wigeonsail/wigeonsail/api/operatorapi"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// handler implements operatorapi.Handler.
type handler struct {
	operators port.OperatorService
	log       log.Interface
}

// NewError implements operatorapi.Handler.
func (h *handler) NewError(_ context.Context, err error) *operatorapi.ProblemStatusCodeWithHeaders {
	return problemOf(err)
}

// GetConfig implements operatorapi.Handler.
func (h *handler) GetConfig(ctx context.Context, params operatorapi.GetConfigParams) (*operatorapi.Config, error) {
	cfg, err := h.operators.Config(ctx, model.Version(params.Version.Or(0)))
	if err != nil {
		return nil, err
	}
	return &operatorapi.Config{Meta: versionBody(cfg.ConfigVersion), Body: string(cfg.Body)}, nil
}

// GetConfigHistory implements operatorapi.Handler.
func (h *handler) GetConfigHistory(ctx context.Context) ([]operatorapi.ConfigVersion, error) {
	history, err := h.operators.History(ctx)
	if err != nil {
		return nil, err
	}
	out := make([]operatorapi.ConfigVersion, 0, len(history))
	for _, v := range history {
		out = append(out, versionBody(v))
	}
	return out, nil
}

// PublishConfig implements operatorapi.Handler.
func (h *handler) PublishConfig(ctx context.Context, req *operatorapi.Publication) (operatorapi.PublishConfigRes, error) {
	author := operatorName(ctx)
	res, err := h.operators.Publish(ctx, port.PublishRequest{
		ID:     req.PublishID,
		Base:   model.Version(req.Base),
		Author: author,
		Note:   req.Note.Or(""),
		Body:   []byte(req.Body),
	})
	if err != nil {
		h.log.Warnf("operators: publication of %s failed: %v", author, err)
		return nil, err
	}
	h.logResult("publication", author, res)
	if !res.Accepted {
		return conflictBody(res), nil
	}
	body := versionBody(res.Current)
	return &body, nil
}

// DrainEndpoint implements operatorapi.Handler.
func (h *handler) DrainEndpoint(ctx context.Context, req *operatorapi.Drain, params operatorapi.DrainEndpointParams) (operatorapi.DrainEndpointRes, error) {
	author := operatorName(ctx)
	res, err := h.operators.DrainEndpoint(ctx, port.DrainRequest{
		ID:       req.PublishID,
		Endpoint: model.EndpointName(params.Name),
		Leaving:  req.Leaving,
		Author:   author,
		Note:     req.Note.Or(""),
	})
	if err != nil {
		h.log.Warnf("operators: drain of %s by %s failed: %v", params.Name, author, err)
		return nil, err
	}
	h.logResult("drain of "+params.Name, author, res)
	if !res.Accepted {
		return conflictBody(res), nil
	}
	body := versionBody(res.Current)
	return &body, nil
}

func (h *handler) logResult(what, author string, res port.PublishResult) {
	if res.Accepted {
		h.log.Infof("operators: %s by %s is version %d", what, author, res.Current.Version)
		return
	}
	h.log.Warnf("operators: %s by %s conflicts with version %d of %s", what, author, res.Current.Version, res.Current.Author)
}

// DrainHost implements operatorapi.Handler.
func (h *handler) DrainHost(ctx context.Context) error {
	author := operatorName(ctx)
	h.log.Infof("operators: %s lets this host leave", author)
	return h.operators.DrainHost(ctx, author)
}

// GetHosts implements operatorapi.Handler.
func (h *handler) GetHosts(ctx context.Context) (*operatorapi.Hosts, error) {
	view, err := h.operators.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	return hostsBody(&view), nil
}

// GetEndpoints implements operatorapi.Handler.
func (h *handler) GetEndpoints(ctx context.Context) ([]operatorapi.Endpoint, error) {
	views, err := h.operators.Endpoints(ctx)
	if err != nil {
		return nil, err
	}
	out := make([]operatorapi.Endpoint, 0, len(views))
	for i := range views {
		out = append(out, endpointBody(&views[i]))
	}
	return out, nil
}
