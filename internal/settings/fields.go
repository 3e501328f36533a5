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
	// Default is the value of a key that the file leaves out; empty when the
	// key has none.
	Default string
	// Allowed says what the key takes.
	Allowed string
	// isSpan says that the value is a time span.
	isSpan bool
}

// Fields lists every key of host.toml in the order of the file.
func Fields() []Field {
	return appendFields(nil, "", reflect.ValueOf(Default()))
}

// GatewayFields lists every key of gateway.toml in the order of the file.
func GatewayFields() []Field {
	return appendFields(nil, "", reflect.ValueOf(DefaultGateway()))
}

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
			_, isSpan := value.Interface().(opconfig.Duration)
			fields = append(fields, Field{Key: key, Default: defaultText(value), Allowed: tag.Get("allowed"), isSpan: isSpan})
		}
	}
	return fields
}

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

// field returns the description of the key; array indexes in key are ignored.
// An unknown key gives an empty Field.
func field(fields []Field, key string) Field {
	plain := withoutIndexes(key)
	for _, f := range fields {
		if f.Key == plain {
			return f
		}
	}
	return Field{}
}

func allowedFor(fields []Field, key string) string { return field(fields, key).Allowed }

// allowedKeys lists the keys of the table that key stands in.
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
