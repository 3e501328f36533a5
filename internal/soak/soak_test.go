package soak_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/soak"
)

// seeds are the seeds to run. The first is arbitrary; seeds that have revealed
// a violation are added after it.
var seeds = []uint64{1}

// The router's guarantees must hold for real processes under faults. Two of three hosts read the
// lists, the third gets them from those.
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "wigeonsail")
	build := exec.Command("go", "build", "-o", binary, "github.com/wigeonsail/wigeonsail/cmd/wigeonsail")
	build.Stderr = os.Stderr
	must.NoError(t, build.Run())
	for _, seed := range seeds {
		opts := soak.DefaultOptions()
		opts.Seed, opts.Duration, opts.Hosts = seed, 3*time.Second, 3
		opts.Binary, opts.Dir, opts.Trace = binary, t.TempDir(), t.Output()
		report, err := soak.Run(t.Context(), opts)
		must.NoError(t, err)
		must.SliceEmpty(t, report.Violations, must.Sprint(report.Violations))
		must.Positive(t, report.Answered)
	}
}
