package opconfig

import "fmt"

func (v *validator) checkAccounts() {
	names := make(map[string]bool)
	hashes := make(map[string]bool)
	for i := range v.cfg.Accounts {
		a := &v.cfg.Accounts[i]
		where := v.checkName("account", i, string(a.Name), names)
		v.checkKeyHashes(where, a, hashes)
		v.check(a.Share >= 1 && a.Share <= maxShare, where+": share", a.Share, fmt.Sprintf("1 to %d", maxShare))
		if a.DefaultClass != "" {
			v.checkClassExists(where, "default_class", string(a.DefaultClass))
		}
		for _, class := range a.Classes {
			v.checkClassExists(where, "classes", string(class))
		}
		v.checkLimits(where, a.Limits)
	}
}

// checkKeyHashes checks that an account has valid key digests that no other
// account in seen has.
func (v *validator) checkKeyHashes(where string, a *Account, seen map[string]bool) {
	v.check(len(a.KeyHashes) > 0, where+": key_hashes", "empty", "at least one hex SHA-256 digest of a key")
	for _, hash := range a.KeyHashes {
		v.check(hashPattern.MatchString(hash), where+": key_hashes", fmt.Sprintf("%q", hash), "64 lower-case hex digits of a SHA-256 digest")
		v.check(!seen[hash], where+": key_hashes", "a key used twice", "a key that no other account has")
		seen[hash] = true
	}
}

func (v *validator) checkLimits(where string, limits []Limit) {
	seen := make(map[string]bool)
	for i := range limits {
		l := &limits[i]
		at := fmt.Sprintf("%s: limit for %q", where, l.Class)
		v.checkClassExists(at, "class", string(l.Class))
		v.check(!seen[string(l.Class)], at+": class", "used twice", "one limit a class")
		seen[string(l.Class)] = true
		v.check(l.RequestsPerSecond >= 0, at+": requests_per_second", l.RequestsPerSecond, "0 or more")
		v.check(l.RequestsPerSecond == 0 || l.Burst >= 1, at+": burst", l.Burst, "at least 1 where requests_per_second is set")
		v.check(l.TokensInFlight >= 0, at+": tokens_in_flight", l.TokensInFlight, "0 or more")
	}
}
