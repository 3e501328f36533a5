package effect

import (
	"os"
	"testing"

	"github.com/wigeonsail/wigeonsail/internal/seedtest"
)

func TestMain(m *testing.M) {
	seedtest.SetFlags("300", map[string]string{"rapid.steps": "250"})
	os.Exit(m.Run())
}
