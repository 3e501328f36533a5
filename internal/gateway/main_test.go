package gateway

import (
	"testing"

	"go.uber.org/goleak"

	"github.com/wigeonsail/wigeonsail/internal/seedtest"
)

// TestMain fixes the seed of the randomized tests and finds goroutines that
// outlive their test.
func TestMain(m *testing.M) {
	seedtest.SetFlags("2000", nil)
	goleak.VerifyTestMain(m)
}
