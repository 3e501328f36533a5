package opconfig

import "github.com/wigeonsail/wigeonsail/internal/core/model"

// Aliases of internal types, for programs outside this module.
type (
	// ClassName names a request class.
	ClassName = model.ClassName
	// AccountName names a client account.
	AccountName = model.AccountName
	// PoolName names a set of interchangeable endpoints.
	PoolName = model.PoolName
	// EndpointName names an endpoint.
	EndpointName = model.EndpointName
	// DomainName names a failure domain.
	DomainName = model.DomainName
	// ModelName names a model.
	ModelName = model.ModelName
	// Tier is the priority of a class; 0 is served first.
	Tier = model.Tier
)
