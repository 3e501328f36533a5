package host

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonsail/wigeonsail/internal/core/catalog"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// prefixBytes is the part of a prompt that decides its cache affinity.
const prefixBytes = 1024

// request is a caller's request in progress.
type request struct {
	call   port.CallerRequest
	class  *opconfig.Class
	pool   *opconfig.Pool
	route  *opconfig.Route
	model  model.Request
	waiter *waiter
	// relayed counts the tokens that the caller has.
	relayed int
	// meter measures the answer's tokens.
	meter meter
	// started says that the answer's header was sent.
	started bool
}

// admitModelCall checks a model call against the configuration in force.
func (h *Host) admitModelCall(call port.CallerRequest, now time.Time) (*request, error) {
	cat, err := h.currentCatalog()
	if err != nil {
		return nil, err
	}
	pool, ok := cat.PoolForModel(call.Model)
	if !ok {
		return nil, unknownModel(call.Model)
	}
	route, _ := cat.Route(call.Method, call.Path)
	return newRequest(cat, call, route, pool, now)
}

// admitServiceCall checks a call to a plain service.
func (h *Host) admitServiceCall(call port.CallerRequest, now time.Time) (*request, error) {
	cat, err := h.currentCatalog()
	if err != nil {
		return nil, err
	}
	route, ok := cat.Route(call.Method, call.Path)
	if !ok || route.Pool == "" {
		return nil, unknownRoute(call.Method, call.Path)
	}
	pool, ok := cat.Pool(route.Pool)
	if !ok || pool.Kind != opconfig.KindService {
		return nil, unknownRoute(call.Method, call.Path)
	}
	return newRequest(cat, call, route, pool, now)
}

func (h *Host) currentCatalog() (*catalog.Catalog, error) {
	cat := h.catalog.Load()
	if cat == nil {
		return nil, notReady()
	}
	if h.leaving.Load() {
		return nil, leaving()
	}
	return cat, nil
}

func newRequest(cat *catalog.Catalog, call port.CallerRequest, route *opconfig.Route, pool *opconfig.Pool, now time.Time) (*request, error) {
	account, ok := cat.Account(call.Account)
	if !ok {
		return nil, unauthorized()
	}
	class, ok := cat.ClassFor(route, call.Class, account)
	if !ok {
		return nil, classNotAllowed(call.Class)
	}
	budget := class.Deadline.Std()
	if call.Budget > 0 {
		budget = call.Budget
	}
	return &request{
		call:   call,
		class:  class,
		pool:   pool,
		route:  route,
		waiter: newWaiter(),
		model: model.Request{
			ID:        call.ID,
			Class:     class.Name,
			Account:   call.Account,
			Pool:      pool.Name,
			Model:     call.Model,
			Prefix:    prefixOf(call.Body),
			Arrived:   now,
			Deadline:  now.Add(budget),
			Attempt:   1,
			Forwarded: call.Forwarded,
		},
	}, nil
}

// prefixOf hashes the start of a prompt; 0 for none.
func prefixOf(body []byte) uint64 {
	if len(body) == 0 {
		return 0
	}
	return xxhash.Sum64(body[:min(len(body), prefixBytes)])
}

// Authenticate finds the account of a key.
func (h *Host) Authenticate(key string) (model.AccountName, error) {
	cat := h.catalog.Load()
	if cat == nil {
		return "", notReady()
	}
	account, ok := cat.AccountForKey(key)
	if !ok {
		return "", unauthorized()
	}
	return account, nil
}

// Models lists the models that an account can use.
func (h *Host) Models(model.AccountName) []model.ModelName {
	cat := h.catalog.Load()
	if cat == nil {
		return nil
	}
	return cat.Models()
}
