package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Load reads and checks a settings file. It returns an *Error for the first
// fault. Paths of TLS files are relative to the working directory.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, unreadable(path, "", err)
	}
	return parse(path, data)
}

func parse(path string, data []byte) (*Settings, error) {
	s := Default()
	fields := Fields()
	idx, err := decode(path, data, &s, fields)
	if err != nil {
		return nil, err
	}
	for _, rule := range rules {
		fault := rule(&s)
		if fault == nil {
			continue
		}
		return nil, fault.at(path, idx, fields)
	}
	return &s, nil
}

// decode reads a file into settings that hold the defaults. Unknown keys and
// time spans without a unit are faults.
func decode(path string, data []byte, into any, fields []Field) (*lineIndex, error) {
	idx := indexLines(data)
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(into); err != nil {
		return nil, decodeError(path, idx, fields, err)
	}
	if fault := checkUnits(idx, fields); fault != nil {
		return nil, fault.at(path, idx, fields)
	}
	return idx, nil
}

// checkUnits refuses a bare number where a time span is due: the decoder would
// take it as nanoseconds.
func checkUnits(idx *lineIndex, fields []Field) *fault {
	for _, key := range idx.numbers {
		if field(fields, key).isSpan {
			return &fault{key: key, problem: "number without a unit"}
		}
	}
	return nil
}

// unreadable describes a file that cannot be read, without repeating its path.
func unreadable(path, key string, err error) *Error {
	cause := err
	var pathErr *os.PathError
	if errors.As(err, &pathErr) {
		cause = pathErr.Err
	}
	return &Error{File: path, Key: key, Problem: "cannot read the file: " + cause.Error(), Allowed: "a readable file in TOML", Cause: err}
}

// decodeError translates an error of the TOML decoder.
func decodeError(path string, idx *lineIndex, fields []Field, err error) *Error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := &unknown.Errors[0]
		line, _ := first.Position()
		key := strings.Join(first.Key(), ".")
		return &Error{File: path, Line: line, Key: key, Problem: "unknown key", Allowed: allowedKeys(fields, key), Cause: err}
	}
	var decode *toml.DecodeError
	if !errors.As(err, &decode) {
		return &Error{File: path, Problem: err.Error(), Cause: err}
	}
	line, _ := decode.Position()
	key := strings.Join(decode.Key(), ".")
	allowed := allowedFor(fields, key)
	if allowed == "" {
		return &Error{File: path, Line: line, Key: key, Problem: syntaxProblem(decode), Allowed: "TOML", Cause: err}
	}
	return &Error{File: path, Line: line, Key: idx.element(key, line), Problem: syntaxProblem(decode), Allowed: allowed, Cause: err}
}

// syntaxProblem shortens the decoder's text: Go types mean nothing to users.
func syntaxProblem(err *toml.DecodeError) string {
	text := strings.TrimPrefix(err.Error(), "toml: ")
	text = strings.TrimPrefix(text, "cannot decode ")
	if kind, _, found := strings.Cut(text, " into struct field"); found {
		return fmt.Sprintf("wrong type or unit: found a %s", kind)
	}
	return strings.TrimPrefix(text, "time: ")
}
