package opconfig

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
)

// ChangeKind is the kind of a Change.
type ChangeKind string

// The kinds of changes.
const (
	// Added means that the part is new.
	Added ChangeKind = "added"
	// Removed means that the part is gone.
	Removed ChangeKind = "removed"
	// Changed means that one of the part's fields differs.
	Changed ChangeKind = "changed"
)

// Change is one difference between two configurations.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Part is the kind of the changed part: class, account, pool, endpoint or route.
	Part string `json:"part"`
	// Name is the name of the part; for a route its methods and path.
	Name string `json:"name"`
	// Field, From and To are the TOML name of the field and the text of its old and
	// new value. They are set for Changed only.
	Field string `json:"field,omitempty"`
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
}

// String describes the change in one line.
func (c Change) String() string {
	if c.Kind != Changed {
		return fmt.Sprintf("%s %s: %s", c.Part, c.Name, c.Kind)
	}
	if c.Part == "endpoint" && c.Field == "leaving" {
		return fmt.Sprintf("endpoint %s: %s", c.Name, leavingText(c.To))
	}
	return fmt.Sprintf("%s %s: %s from %s to %s", c.Part, c.Name, c.Field, c.From, c.To)
}

// leavingText describes a change of an endpoint's field "leaving".
func leavingText(to string) string {
	if to == "true" {
		return "starts leaving, gets no new work"
	}
	return "is back, gets new work again"
}

// Diff returns the changes from one configuration to another, in the order
// classes, accounts, pools, endpoints, routes, each sorted by name.
func Diff(from, to *Config) []Change {
	var out []Change
	out = append(out, diffParts("class", from.Classes, to.Classes, func(c Class) string { return string(c.Name) })...)
	out = append(out, diffParts("account", from.Accounts, to.Accounts, func(a Account) string { return string(a.Name) })...)
	out = append(out, diffParts("pool", from.Pools, to.Pools, func(p Pool) string { return string(p.Name) })...)
	out = append(out, diffParts("endpoint", from.Endpoints, to.Endpoints, func(e Endpoint) string { return string(e.Name) })...)
	out = append(out, diffParts("route", from.Routes, to.Routes, routeName)...)
	return out
}

// routeName returns the methods and path that identify a route.
func routeName(r Route) string {
	if len(r.Methods) == 0 {
		return r.Path
	}
	return strings.Join(r.Methods, ",") + " " + r.Path
}

// diffParts returns the changes between two lists of parts of one kind, sorted by
// name. Parts with the same name are compared field by field.
func diffParts[T any](part string, from, to []T, name func(T) string) []Change {
	old := byName(from, name)
	current := byName(to, name)
	var out []Change
	for _, n := range sortedNames(old, current) {
		before, had := old[n]
		after, has := current[n]
		switch {
		case !had:
			out = append(out, Change{Kind: Added, Part: part, Name: n})
		case !has:
			out = append(out, Change{Kind: Removed, Part: part, Name: n})
		default:
			out = append(out, diffFields(part, n, reflect.ValueOf(before), reflect.ValueOf(after))...)
		}
	}
	return out
}

func byName[T any](items []T, name func(T) string) map[string]T {
	out := make(map[string]T, len(items))
	for _, item := range items {
		out[name(item)] = item
	}
	return out
}

func sortedNames[T any](a, b map[string]T) []string {
	names := make([]string, 0, len(a)+len(b))
	for n := range a {
		names = append(names, n)
	}
	for n := range b {
		if _, both := a[n]; !both {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	return names
}

// diffFields returns the changes of single fields between two versions of a part.
func diffFields(part, name string, before, after reflect.Value) []Change {
	var out []Change
	for i := range before.NumField() {
		a := fieldText(before.Field(i))
		b := fieldText(after.Field(i))
		if a == b {
			continue
		}
		field, _, _ := strings.Cut(before.Type().Field(i).Tag.Get("toml"), ",")
		out = append(out, Change{Kind: Changed, Part: part, Name: name, Field: field, From: a, To: b})
	}
	return out
}

// fieldText returns the displayed value of a field; "none" for an empty one.
func fieldText(v reflect.Value) string {
	switch value := v.Interface().(type) {
	case Duration:
		return value.Std().String()
	case []string:
		return listText(value, shortenHash)
	case []Limit:
		return limitsText(value)
	}
	if v.Kind() == reflect.Slice && v.Len() == 0 {
		return "none"
	}
	if v.Kind() == reflect.String && v.Len() == 0 {
		return "none"
	}
	return fmt.Sprint(v.Interface())
}

func listText(items []string, text func(string) string) string {
	if len(items) == 0 {
		return "none"
	}
	out := make([]string, len(items))
	for i, item := range items {
		out[i] = text(item)
	}
	return strings.Join(out, " ")
}

// shortenHash returns the first digits of a key digest, which are enough to
// recognise it. It returns other text unchanged.
func shortenHash(s string) string {
	const keep = 8
	if hashPattern.MatchString(s) {
		return s[:keep] + "..."
	}
	return s
}

func limitsText(limits []Limit) string {
	if len(limits) == 0 {
		return "none"
	}
	out := make([]string, len(limits))
	for i, l := range limits {
		out[i] = fmt.Sprintf("%s: %g requests/s, burst %d, %d tokens in flight",
			l.Class, l.RequestsPerSecond, l.Burst, l.TokensInFlight)
	}
	return strings.Join(out, "; ")
}
