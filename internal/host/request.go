package host

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonsail/wigeonsail/internal/core/catalog"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// hashedPrefixBytes is the number of bytes at the start of a prompt that determine
// its prefix cache affinity.
const hashedPrefixBytes = 1024

// request is a caller's request in progress.
type request struct {
	call   port.CallerRequest
	class  *opconfig.Class
	pool   *opconfig.Pool
	route  *opconfig.Route
	model  model.Request
	waiter *waiter
	// relayedTokens is the number of tokens sent to the caller in all attempts.
	relayedTokens int
	// meter measures the tokens of the response.
	meter tokenMeter
	// responseStarted is set once the header of the response has been sent.
	responseStarted bool
}

// admitModelCall checks a model call against the configuration in force and
// returns the request to serve. Its errors are of type *port.RequestError.
func (h *Host) admitModelCall(call port.CallerRequest, now time.Time) (*request, error) {
	cat, err := h.currentCatalog()
	if err != nil {
		return nil, err
	}
	pool, ok := cat.PoolForModel(call.Model)
	if !ok {
		return nil, h.deny(unknownModelError(call.Model))
	}
	route, _ := cat.Route(call.Method, call.Path)
	return h.newRequest(cat, call, route, pool, now)
}

// admitServiceCall checks a call to a plain service against the configuration in
// force and returns the request to serve. Its errors are of type
// *port.RequestError.
func (h *Host) admitServiceCall(call port.CallerRequest, now time.Time) (*request, error) {
	cat, err := h.currentCatalog()
	if err != nil {
		return nil, err
	}
	route, ok := cat.Route(call.Method, call.Path)
	if !ok || route.Pool == "" {
		return nil, h.deny(unknownRouteError(call.Method, call.Path))
	}
	pool, ok := cat.Pool(route.Pool)
	if !ok || pool.Kind != opconfig.KindService {
		return nil, h.deny(unknownRouteError(call.Method, call.Path))
	}
	return h.newRequest(cat, call, route, pool, now)
}

// currentCatalog returns the catalog in force, or a *port.RequestError if there is
// none yet or the host is leaving.
func (h *Host) currentCatalog() (*catalog.Catalog, error) {
	cat := h.catalog.Load()
	if cat == nil {
		return nil, notReadyError()
	}
	if h.leaving.Load() {
		return nil, leavingError()
	}
	return cat, nil
}

// newRequest checks the account and the class and returns the request at its first
// attempt. The deadline is the caller's budget after now, else that of the class.
// Its errors are of type *port.RequestError.
func (h *Host) newRequest(cat *catalog.Catalog, call port.CallerRequest, route *opconfig.Route, pool *opconfig.Pool, now time.Time) (*request, error) {
	account, ok := cat.Account(call.Account)
	if !ok {
		return nil, h.deny(unauthorizedError())
	}
	class, ok := cat.ClassFor(route, call.Class, account)
	if !ok {
		return nil, h.deny(classNotAllowedError(call.Class))
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
			Prefix:    promptPrefixHash(call.Body),
			Arrived:   now,
			Deadline:  now.Add(budget),
			Attempt:   1,
			Forwarded: call.Forwarded,
		},
	}, nil
}

// promptPrefixHash returns a hash of the start of a prompt; 0 for an empty one.
func promptPrefixHash(body []byte) uint64 {
	if len(body) == 0 {
		return 0
	}
	return xxhash.Sum64(body[:min(len(body), hashedPrefixBytes)])
}

// Authenticate returns the client account of an API key. Its errors are of type
// *port.RequestError.
func (h *Host) Authenticate(key string) (model.AccountName, error) {
	cat := h.catalog.Load()
	if cat == nil {
		return "", notReadyError()
	}
	account, ok := cat.AccountForKey(key)
	if !ok {
		return "", h.deny(unauthorizedError())
	}
	return account, nil
}

// Models returns the models of all pools. Every client account may use them.
func (h *Host) Models(model.AccountName) []model.ModelName {
	cat := h.catalog.Load()
	if cat == nil {
		return nil
	}
	return cat.Models()
}
