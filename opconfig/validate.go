package opconfig

import (
	"fmt"
	"regexp"
	"time"
)

// The bounds of numbers in a configuration.
const (
	maxTier        = 15
	maxShare       = 1000
	maxRoom        = 100000
	maxRetryBudget = 1.0
)

// minSpan is the shortest time span. It refuses numbers without a unit, which
// TOML reads as nanoseconds.
const minSpan = Duration(time.Millisecond)

// Names become metric labels and file names, so they are short and plain.
var (
	namePattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	modelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/@+-]{0,126}$`)
	hashPattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

const (
	nameAllowed  = "1 to 63 letters, digits, dots, dashes or underscores"
	modelAllowed = "1 to 127 letters, digits or ._:/@+-"
)

// Validate checks the whole configuration and returns a *ValidationError with
// every wrong field, or nil.
func (c *Config) Validate() error {
	v := &validation{cfg: c}
	v.check(c.Schema == SchemaVersion, "schema", c.Schema, fmt.Sprint(SchemaVersion))
	v.classes()
	v.accounts()
	v.pools()
	v.endpoints()
	v.routes()
	if len(v.errs) == 0 {
		return nil
	}
	return &ValidationError{Fields: v.errs}
}

// validation collects what is wrong.
type validation struct {
	cfg  *Config
	errs []*FieldError

	classNames map[string]bool
	poolKinds  map[string]PoolKind
}

func (v *validation) check(ok bool, field string, got any, allowed string) {
	if ok {
		return
	}
	text := fmt.Sprint(got)
	if text == "" {
		text = "empty"
	}
	v.errs = append(v.errs, &FieldError{Field: field, Got: text, Allowed: allowed})
}

// unique checks a name's form and that it stands once.
func (v *validation) unique(kind string, index int, name string, seen map[string]bool) string {
	where := fmt.Sprintf("%s %q", kind, name)
	if name == "" {
		where = fmt.Sprintf("%s number %d", kind, index+1)
	}
	v.check(namePattern.MatchString(name), where+": name", name, nameAllowed)
	v.check(!seen[name], where+": name", "used twice", "a name that no other "+kind+" has")
	seen[name] = true
	return where
}

func (v *validation) share(where, field string, got float64) {
	v.check(got >= 0 && got <= 1, where+": "+field, got, "0 to 1")
}

func (v *validation) knownClass(where, field, name string) {
	v.check(v.classNames[name], where+": "+field, fmt.Sprintf("%q", name), "the name of a class")
}
