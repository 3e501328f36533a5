package demo

import (
	"fmt"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// Key is the API key of the demo's client account.
const Key = "demo-key"

// OperatorToken is the access token of the demo's operator.
const OperatorToken = "demo-operator"

// The names in the demo's configuration.
const (
	Model           model.ModelName   = "draft"
	Confirmations   model.ClassName   = "confirmations"
	Orders          model.ClassName   = "orders"
	Questions       model.ClassName   = "questions"
	Drafts          model.ClassName   = "drafts"
	enginePool      model.PoolName    = "advice"
	appointmentPool model.PoolName    = "appointments"
	orderPool       model.PoolName    = "orders"
	demoAccount     model.AccountName = "demo"
)

// The path prefixes of the demo's plain services.
const (
	AppointmentsPath = "/services/appointments/"
	OrdersPath       = "/services/orders/"
)

// The configured room of an endpoint: the initial estimate of the number of
// requests that it serves at once.
const (
	engineRoom  = 16
	serviceRoom = 64
)

// replicas has the addresses of a failure domain's stand-ins.
type replicas struct {
	domain       model.DomainName
	engines      []string
	appointments string
	orders       string
}

// configuration returns a configuration with classes for both users and the
// given replicas as endpoints.
func configuration(domains []replicas) *opconfig.Config {
	cfg := &opconfig.Config{
		Schema:  opconfig.SchemaVersion,
		Classes: classes(),
		Accounts: []opconfig.Account{{
			Name:         demoAccount,
			KeyHashes:    []string{opconfig.HashKey(Key)},
			Share:        1,
			DefaultClass: Questions,
		}},
		Pools: []opconfig.Pool{
			{Name: enginePool, Kind: opconfig.KindEngine, Models: []model.ModelName{Model}},
			{Name: appointmentPool, Kind: opconfig.KindService},
			{Name: orderPool, Kind: opconfig.KindService},
		},
		Routes: []opconfig.Route{
			{Path: AppointmentsPath, Class: Confirmations, Pool: appointmentPool},
			{Path: OrdersPath, Class: Orders, Pool: orderPool},
		},
	}
	for _, d := range domains {
		cfg.Endpoints = append(cfg.Endpoints, endpoints(d)...)
	}
	return cfg
}

func classes() []opconfig.Class {
	confirmations := opconfig.Class{
		Name: Confirmations, Tier: 0, Protected: true, Headroom: 0.1, Objective: 0.999,
		FirstToken: configDuration(2 * time.Second), Deadline: configDuration(30 * time.Second),
		MaxQueued: 500, RetryBudget: 0.1,
	}
	orders := confirmations
	orders.Name = Orders
	return []opconfig.Class{
		confirmations,
		orders,
		{
			Name: Questions, Tier: 1, Floor: 0.1, Idempotent: true, Objective: 0.95,
			FirstToken: configDuration(1900 * time.Millisecond), BetweenTokens: configDuration(33 * time.Millisecond),
			Deadline: configDuration(20 * time.Second), MaxQueued: 200, RetryBudget: 0.1,
		},
		{
			Name: Drafts, Tier: 2, Floor: 0.1, Idempotent: true, Preemptible: true, Objective: 0.9,
			FirstToken: configDuration(time.Minute), BetweenTokens: configDuration(100 * time.Millisecond),
			Deadline: configDuration(30 * time.Minute), MaxQueued: 50, RetryBudget: 0.1,
		},
	}
}

func configDuration(d time.Duration) opconfig.Duration { return opconfig.Duration(d) }

// endpoints returns the endpoints of a failure domain.
func endpoints(d replicas) []opconfig.Endpoint {
	var out []opconfig.Endpoint
	add := func(kind string, n int, pool model.PoolName, address string, room int) {
		out = append(out, opconfig.Endpoint{
			Name:    model.EndpointName(fmt.Sprintf("%s-%s-%d", d.domain, kind, n)),
			Pool:    pool,
			Domain:  d.domain,
			Address: address,
			Room:    room,
		})
	}
	for i, address := range d.engines {
		add("engine", i+1, enginePool, address, engineRoom)
	}
	add("appointments", 1, appointmentPool, d.appointments, serviceRoom)
	add("orders", 1, orderPool, d.orders, serviceRoom)
	return out
}
