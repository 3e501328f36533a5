package opconfig

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Marshal prints the configuration as TOML.
func Marshal(cfg *Config) ([]byte, error) {
	var out bytes.Buffer
	enc := toml.NewEncoder(&out)
	enc.SetIndentTables(false)
	if err := enc.Encode(cfg); err != nil {
		return nil, &ParseError{Problem: err.Error()}
	}
	return out.Bytes(), nil
}

// Parse reads a configuration from TOML. It refuses unknown keys with a
// *ParseError that names the line; it does not validate.
func Parse(text []byte) (*Config, error) {
	cfg := &Config{}
	dec := toml.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(cfg); err != nil {
		return nil, parseError(err)
	}
	return cfg, nil
}

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

func decodeError(err *toml.DecodeError, problem string) *ParseError {
	line, column := err.Position()
	return &ParseError{
		Line:    line,
		Column:  column,
		Key:     strings.Join(err.Key(), "."),
		Problem: problem,
	}
}
