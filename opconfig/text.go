package opconfig

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Marshal encodes the configuration as TOML. It fails with a *ParseError.
func Marshal(cfg *Config) ([]byte, error) {
	var out bytes.Buffer
	enc := toml.NewEncoder(&out)
	enc.SetIndentTables(false)
	if err := enc.Encode(cfg); err != nil {
		return nil, &ParseError{Problem: err.Error()}
	}
	return out.Bytes(), nil
}

// Parse decodes a configuration from TOML. It fails with a *ParseError, also for
// unknown keys. It does not validate the values; use Config.Validate.
func Parse(text []byte) (*Config, error) {
	cfg := &Config{}
	dec := toml.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(cfg); err != nil {
		return nil, parseError(err)
	}
	return cfg, nil
}

// parseError converts an error of the TOML decoder.
func parseError(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		return decodeError(&strict.Errors[0], "unknown key")
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		return decodeError(decode, strings.TrimPrefix(decode.Error(), "toml: "))
	}
	return &ParseError{Problem: strings.TrimPrefix(err.Error(), "toml: ")}
}

// decodeError returns a problem with the position of a decoder error.
func decodeError(err *toml.DecodeError, problem string) *ParseError {
	line, column := err.Position()
	return &ParseError{
		Line:    line,
		Column:  column,
		Key:     strings.Join(err.Key(), "."),
		Problem: problem,
	}
}
