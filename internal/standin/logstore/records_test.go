package logstore

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// A key may have as many bytes as its length can state.
func TestKeyedRecordHoldsLongestKey(t *testing.T) {
	for _, key := range []string{"", "k", strings.Repeat("\xff", 255)} {
		got, value, ok := decodeKeyedRecord(encodeKeyedRecord(key, []byte("v")))
		must.True(t, ok)
		must.Eq(t, key, got)
		must.Eq(t, []byte("v"), value)
	}
}
