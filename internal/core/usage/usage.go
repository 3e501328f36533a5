// Package usage counts the requests that began to run, by client account and by window of
// the true time, over all hosts.
package usage

import (
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Window numbers the windows of usage since the start of 1970.
type Window int64

// Counts is the number of requests that began to run, by client account.
type Counts map[model.AccountName]int64

// Source is the lifetime of a host that counts requests.
type Source struct {
	Host        model.HostID
	Incarnation model.Incarnation
}

// Record is what a source has counted in a window so far. Counts of one source only rise,
// so records are merged by the highest count.
type Record struct {
	Source Source
	Window Window
	Counts Counts
}

// Report is the usage of a window over all hosts.
type Report struct {
	Window Window
	Counts Counts
}
