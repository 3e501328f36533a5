package opconfig

import (
	"fmt"
	"regexp"
	"time"
)

// Maximum values of numbers in a configuration.
const (
	maxTier        = 15
	maxShare       = 1000
	maxRoom        = 100000
	maxRetryBudget = 1.0
)

// minDuration is the shortest valid time span. It excludes numbers without a unit,
// which are decoded as nanoseconds.
const minDuration = Duration(time.Millisecond)

// Names are limited in length and characters since they are used as metric labels
// and file names.
var (
	namePattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	modelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/@+-]{0,126}$`)
	hashPattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

const (
	nameAllowed  = "1 to 63 letters, digits, dots, dashes or underscores"
	modelAllowed = "1 to 127 letters, digits or ._:/@+-"
)

// Validate checks the whole configuration. It returns a *ValidationError with all
// invalid fields, or nil.
func (c *Config) Validate() error {
	v := &validator{cfg: c}
	v.check(c.Schema == SchemaVersion, "schema", c.Schema, fmt.Sprint(SchemaVersion))
	v.checkClasses()
	v.checkAccounts()
	v.checkPools()
	v.checkEndpoints()
	v.checkRoutes()
	if len(v.errs) == 0 {
		return nil
	}
	return &ValidationError{Fields: v.errs}
}

// validator collects the invalid fields of a configuration.
type validator struct {
	cfg  *Config
	errs []*FieldError

	// classNames and poolKinds are the declared classes and pools, to which other
	// parts refer.
	classNames map[string]bool
	poolKinds  map[string]PoolKind
}

// check adds an error for the field unless ok.
func (v *validator) check(ok bool, field string, got any, allowed string) {
	if ok {
		return
	}
	text := fmt.Sprint(got)
	if text == "" {
		text = "empty"
	}
	v.errs = append(v.errs, &FieldError{Field: field, Got: text, Allowed: allowed})
}

// checkName checks that a name is well-formed and not in seen, to which it adds
// it. It returns the text that identifies the part in errors.
func (v *validator) checkName(kind string, index int, name string, seen map[string]bool) string {
	where := fmt.Sprintf("%s %q", kind, name)
	if name == "" {
		where = fmt.Sprintf("%s number %d", kind, index+1)
	}
	v.check(namePattern.MatchString(name), where+": name", name, nameAllowed)
	v.check(!seen[name], where+": name", "used twice", "a name that no other "+kind+" has")
	seen[name] = true
	return where
}

// checkFraction checks that a number is from 0 to 1.
func (v *validator) checkFraction(where, field string, got float64) {
	v.check(got >= 0 && got <= 1, where+": "+field, got, "0 to 1")
}

// checkClassExists checks that a class with the name is declared.
func (v *validator) checkClassExists(where, field, name string) {
	v.check(v.classNames[name], where+": "+field, fmt.Sprintf("%q", name), "the name of a class")
}
