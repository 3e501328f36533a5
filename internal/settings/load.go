package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Load reads and validates host.toml. It returns an *Error for the first problem.
// Paths of TLS files are relative to the working directory.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, unreadableFileError(path, "", err)
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
		v := rule(&s)
		if v == nil {
			continue
		}
		return nil, v.toError(path, idx, fields)
	}
	return &s, nil
}

// decode decodes a file into settings that hold the defaults, and returns the
// lines of its keys. It rejects unknown keys and time spans without a unit.
func decode(path string, data []byte, into any, fields []Field) (*lineIndex, error) {
	idx := indexLines(data)
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(into); err != nil {
		return nil, decodeError(path, idx, fields, err)
	}
	if v := checkUnits(idx, fields); v != nil {
		return nil, v.toError(path, idx, fields)
	}
	return idx, nil
}

// checkUnits rejects a bare number in place of a time span, since the decoder
// would interpret it as nanoseconds.
func checkUnits(idx *lineIndex, fields []Field) *violation {
	for _, key := range idx.numbers {
		if findField(fields, key).isDuration {
			return &violation{key: key, problem: "number without a unit"}
		}
	}
	return nil
}

// unreadableFileError returns the error for a file that cannot be read. Its text
// has the path only once.
func unreadableFileError(path, key string, err error) *Error {
	cause := err
	var pathErr *os.PathError
	if errors.As(err, &pathErr) {
		cause = pathErr.Err
	}
	return &Error{File: path, Key: key, Problem: "cannot read the file: " + cause.Error(), Allowed: "a readable file in TOML", Cause: err}
}

// decodeError converts an error of the TOML decoder.
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
	allowed := allowedValues(fields, key)
	if allowed == "" {
		return &Error{File: path, Line: line, Key: key, Problem: syntaxProblem(decode), Allowed: "TOML", Cause: err}
	}
	return &Error{File: path, Line: line, Key: idx.elementKey(key, line), Problem: syntaxProblem(decode), Allowed: allowed, Cause: err}
}

// syntaxProblem returns the text of a decoder error without the names of Go types,
// which mean nothing to users.
func syntaxProblem(err *toml.DecodeError) string {
	text := strings.TrimPrefix(err.Error(), "toml: ")
	text = strings.TrimPrefix(text, "cannot decode ")
	if kind, _, found := strings.Cut(text, " into struct field"); found {
		return fmt.Sprintf("wrong type or unit: found a %s", kind)
	}
	return strings.TrimPrefix(text, "time: ")
}
