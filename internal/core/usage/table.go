package usage

import (
	"cmp"
	"maps"
	"slices"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Table holds what the hosts have counted in the windows that are not reported yet. Counts
// of a source only rise, so records may arrive in any order, more than once, or in parts.
// A Table is not safe for concurrent use.
type Table struct {
	cells map[cellKey]*cell
	// changes numbers the changes of counts.
	changes int64
}

// cellKey identifies the counts of a source in a window.
type cellKey struct {
	source Source
	window Window
}

// cell holds the counts of a source in a window.
type cell struct {
	// domain is the failure domain of the source; empty if it is not known.
	domain model.DomainName
	counts Counts
	// changed is the number of the last change of each count.
	changed map[model.AccountName]int64
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{cells: make(map[cellKey]*cell)} }

// Add counts a request of an account.
func (t *Table) Add(source Source, domain model.DomainName, window Window, account model.AccountName) {
	c := t.cell(source, domain, window)
	t.set(c, account, c.counts[account]+1)
}

// Merge takes over the counts of a record that are higher than known ones.
func (t *Table) Merge(domain model.DomainName, rec Record) {
	c := t.cell(rec.Source, domain, rec.Window)
	for account, count := range rec.Counts {
		if count > c.counts[account] {
			t.set(c, account, count)
		}
	}
}

func (t *Table) cell(source Source, domain model.DomainName, window Window) *cell {
	key := cellKey{source: source, window: window}
	c := t.cells[key]
	if c == nil {
		c = &cell{domain: domain, counts: make(Counts), changed: make(map[model.AccountName]int64)}
		t.cells[key] = c
	}
	return c
}

func (t *Table) set(c *cell, account model.AccountName, count int64) {
	t.changes++
	c.counts[account] = count
	c.changed[account] = t.changes
}

// Changes returns the number of the last change.
func (t *Table) Changes() int64 { return t.changes }

// ChangedSince returns the counts of a source in the windows from the one given on that have
// changed since a change, in parts of records; all of them for 0.
func (t *Table) ChangedSince(source Source, from Window, change int64) []Record {
	var out []Record
	for key, c := range t.cells {
		if key.source != source || key.window < from {
			continue
		}
		counts := make(Counts)
		for account, at := range c.changed {
			if at > change {
				counts[account] = c.counts[account]
			}
		}
		if len(counts) > 0 {
			out = append(out, Record{Source: source, Window: key.window, Counts: counts})
		}
	}
	sortRecords(out)
	return out
}

// DomainSource is the source of the counts of a whole failure domain. Its relays sum up
// what its hosts have counted, for other domains.
func DomainSource(domain model.DomainName) Source {
	return Source{Host: model.HostID("domain " + string(domain))}
}

// DomainChangedSince is like ChangedSince for the sum over the hosts of a failure domain.
func (t *Table) DomainChangedSince(domain model.DomainName, from Window, change int64) []Record {
	sums := make(map[Window]Counts)
	changed := make(map[Window]Counts)
	for key, c := range t.cells {
		if c.domain != domain || key.source == DomainSource(domain) || key.window < from {
			continue
		}
		if sums[key.window] == nil {
			sums[key.window], changed[key.window] = make(Counts), make(Counts)
		}
		for account, count := range c.counts {
			sums[key.window][account] += count
			if c.changed[account] > change {
				changed[key.window][account] = 1
			}
		}
	}
	var out []Record
	for window, counts := range changed {
		for account := range counts {
			counts[account] = sums[window][account]
		}
		if len(counts) > 0 {
			out = append(out, Record{Source: DomainSource(domain), Window: window, Counts: counts})
		}
	}
	sortRecords(out)
	return out
}

// Total returns the counts of a window over all hosts. Of a failure domain it takes, by
// account, the higher one of the sum over its hosts and the total that its relays sent.
func (t *Table) Total(window Window) Counts {
	hosts := make(map[model.DomainName]Counts)
	relayed := make(map[model.DomainName]Counts)
	for key, c := range t.cells {
		if key.window != window {
			continue
		}
		into := hosts
		if key.source == DomainSource(c.domain) {
			into = relayed
		}
		if into[c.domain] == nil {
			into[c.domain] = make(Counts)
		}
		for account, count := range c.counts {
			into[c.domain][account] += count
		}
	}
	total := make(Counts)
	for domain, counts := range hosts {
		for account, count := range counts {
			total[account] += max(count, relayed[domain][account])
		}
	}
	for domain, counts := range relayed {
		for account, count := range counts {
			if hosts[domain][account] == 0 {
				total[account] += count
			}
		}
	}
	return total
}

// Forget drops the counts of windows before the one given.
func (t *Table) Forget(before Window) {
	maps.DeleteFunc(t.cells, func(key cellKey, _ *cell) bool { return key.window < before })
}

func sortRecords(records []Record) {
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Window, b.Window) })
}

// MergeRecords returns the records of both lists, with the newer one of each source and
// window. It modifies neither.
func MergeRecords(older, newer []Record) []Record {
	if len(older) == 0 || len(newer) == 0 {
		return append(older[:len(older):len(older)], newer...)
	}
	merged := NewTable()
	for _, rec := range slices.Concat(older, newer) {
		merged.Merge("", rec)
	}
	var out []Record
	for key, c := range merged.cells {
		out = append(out, Record{Source: key.source, Window: key.window, Counts: c.counts})
	}
	sortRecords(out)
	return out
}

// Sum returns the number of requests of all accounts.
func (c Counts) Sum() int64 {
	var total int64
	for _, count := range c {
		total += count
	}
	return total
}
