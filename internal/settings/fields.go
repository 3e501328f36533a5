package settings

import (
	"encoding"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/wigeonsail/wigeonsail/opconfig"
)

// Field describes one key of the settings.
type Field struct {
	// Key is the dotted key, for example "peers.secret".
	Key string
	// Default is the value used if the key is not set; empty if there is none.
	Default string
	// Allowed describes the valid values of the key.
	Allowed string
	// isDuration is true if the value is a time span.
	isDuration bool
}

// Fields returns every key of host.toml in the order of the file.
func Fields() []Field {
	return appendFields(nil, "", reflect.ValueOf(Default()))
}

// GatewayFields returns every key of gateway.toml in the order of the file.
func GatewayFields() []Field {
	return appendFields(nil, "", reflect.ValueOf(DefaultGateway()))
}

// appendFields appends the keys of a struct and of its nested tables. The prefix
// is that of the keys, with its dot.
func appendFields(fields []Field, prefix string, table reflect.Value) []Field {
	for i := range table.NumField() {
		tag := table.Type().Field(i).Tag
		name, _, _ := strings.Cut(tag.Get("toml"), ",")
		key := prefix + name
		value := table.Field(i)
		switch {
		case value.Kind() == reflect.Struct:
			fields = appendFields(fields, key+".", value)
		case value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Struct:
			fields = appendFields(fields, key+".", reflect.Zero(value.Type().Elem()))
		default:
			_, isDuration := value.Interface().(opconfig.Duration)
			fields = append(fields, Field{Key: key, Default: defaultText(value), Allowed: tag.Get("allowed"), isDuration: isDuration})
		}
	}
	return fields
}

// defaultText returns the text of a default value; empty for a zero value.
func defaultText(value reflect.Value) string {
	if value.IsZero() {
		return ""
	}
	if m, ok := value.Interface().(encoding.TextMarshaler); ok {
		text, err := m.MarshalText()
		if err != nil {
			return ""
		}
		return string(text)
	}
	return fmt.Sprint(value.Interface())
}

// findField returns the description of the key, or a zero Field if the key is
// unknown. It ignores array indexes in key.
func findField(fields []Field, key string) Field {
	plain := withoutIndexes(key)
	for _, f := range fields {
		if f.Key == plain {
			return f
		}
	}
	return Field{}
}

func allowedValues(fields []Field, key string) string { return findField(fields, key).Allowed }

// allowedKeys returns the keys of the table that contains key, as a
// comma-separated list. If the table is unknown it returns the top-level keys.
func allowedKeys(fields []Field, key string) string {
	table := ""
	if at := strings.LastIndex(key, "."); at >= 0 {
		table = withoutIndexes(key[:at+1])
	}
	var names []string
	for _, f := range fields {
		rest, in := strings.CutPrefix(f.Key, table)
		if !in {
			continue
		}
		name, _, _ := strings.Cut(rest, ".")
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return allowedKeys(fields, "")
	}
	return strings.Join(names, ", ")
}

// withoutIndexes removes the array indexes from a dotted key.
func withoutIndexes(key string) string {
	for {
		before, rest, found := strings.Cut(key, "[")
		if !found {
			return key
		}
		_, after, _ := strings.Cut(rest, "]")
		key = before + after
	}
}
