package model_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

func TestFingerprintsDifferWithEachField(t *testing.T) {
	seen := make(map[model.Fingerprint]bool)
	for _, f := range []model.Fingerprint{
		model.NewFingerprint("h", "POST", "/a", "acme", []byte("body")),
		model.NewFingerprint("g", "POST", "/a", "acme", []byte("body")),
		model.NewFingerprint("h", "PUT", "/a", "acme", []byte("body")),
		model.NewFingerprint("h", "POST", "/a?x=1", "acme", []byte("body")),
		model.NewFingerprint("h", "POST", "/a", "other", []byte("body")),
		model.NewFingerprint("h", "POST", "/a", "acme", nil),
		model.NewFingerprint("h", "POST", "/aa", "cme", []byte("body")),
		model.NewFingerprint("", "", "", "", nil),
	} {
		must.False(t, seen[f])
		seen[f] = true
	}
}

// Hosts of other builds and the platform's store have fingerprints as well.
func TestFingerprintStaysTheSame(t *testing.T) {
	must.Eq(t, "63eaf7821ec9c1c9", model.NewFingerprint("h.example", "POST", "/a?x=1", "acme", []byte("body")).String())
}
