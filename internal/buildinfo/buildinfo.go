// Package buildinfo identifies the build of the running program.
package buildinfo

import (
	"debug/elf"
	"fmt"
	"runtime/debug"

	"github.com/cespare/xxhash/v2"
)

const (
	// commitLength is the number of characters of a commit that are shown.
	commitLength = 12
	// executable is the file of the running program on Linux.
	executable = "/proc/self/exe"
	// buildIDSection has the identifier that the Go linker derives from a program's content.
	buildIDSection = ".note.go.buildid"
)

// Unknown is the commit of a build that has neither a commit nor an identifier.
const Unknown = "unknown"

// Commit returns the commit that the program was built from, with "+changes" if there were
// changes that were not committed. For a build without that information, it returns "build-"
// and a hash of the build's identifier, or Unknown.
func Commit() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Unknown
	}
	if commit := commitOf(info.Settings); commit != "" {
		return commit
	}
	return buildID(executable)
}

// commitOf returns the commit in the settings of a build, or an empty string.
func commitOf(settings []debug.BuildSetting) string {
	values := make(map[string]string)
	for _, s := range settings {
		values[s.Key] = s.Value
	}
	commit := values["vcs.revision"]
	commit = commit[:min(len(commit), commitLength)]
	if commit != "" && values["vcs.modified"] == "true" {
		commit += "+changes"
	}
	return commit
}

// buildID returns a hash of the build identifier of a program, or Unknown.
func buildID(path string) string {
	file, err := elf.Open(path)
	if err != nil {
		return Unknown
	}
	defer func() { _ = file.Close() }() // It was only read.
	section := file.Section(buildIDSection)
	if section == nil {
		return Unknown
	}
	note, err := section.Data()
	if err != nil {
		return Unknown
	}
	return fmt.Sprintf("build-%08x", uint32(xxhash.Sum64(note)))
}
