// Package capacity decides how many endpoints of each pool are ordered from the platform in
// each failure domain.
package capacity

import "github.com/wigeonsail/wigeonsail/internal/core/model"

// Order is a number of endpoints of one kind that a pool should have in a failure domain.
type Order struct {
	Pool   model.PoolName
	Domain model.DomainName
	// Reclaimable endpoints cost less, and the platform may take away all of a domain at
	// short notice.
	Reclaimable bool
	Count       int
}

// Demand is the work per second that callers have requested of a pool, served or not.
type Demand struct {
	Pool   model.PoolName
	Domain model.DomainName
	// Requests and Refused are requests per second; Refused are those that were refused
	// for lack of room.
	Requests, Refused float64
	// PromptTokens and OutputTokens are tokens per second.
	PromptTokens, OutputTokens float64
}
