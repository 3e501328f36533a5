package buildinfo

import (
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestCommitOfABuild(t *testing.T) {
	revision := debug.BuildSetting{Key: "vcs.revision", Value: "043161b8a7c6d5e4f3a2"}
	must.Eq(t, "043161b8a7c6", commitOf([]debug.BuildSetting{revision}))
	must.Eq(t, "043161b8a7c6+changes", commitOf([]debug.BuildSetting{revision, {Key: "vcs.modified", Value: "true"}}))
	must.Eq(t, "", commitOf([]debug.BuildSetting{{Key: "vcs.modified", Value: "true"}}))
}

// Programs that were built without the state of the repository must still differ.
func TestBuildWithoutACommitHasAnIdentifier(t *testing.T) {
	id := buildID(executable)
	_, err := os.Stat(executable)
	must.Eq(t, err == nil, strings.HasPrefix(id, "build-"), must.Sprint(id))
	must.Eq(t, Unknown, buildID(filepath.Join(t.TempDir(), "missing")))
}
