package resume_test

import (
	"os"
	"testing"

	"github.com/wigeonsail/wigeonsail/internal/seedtest"
)

func TestMain(m *testing.M) {
	seedtest.SetFlags("2000", nil)
	os.Exit(m.Run())
}
