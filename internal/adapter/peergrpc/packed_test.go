package peergrpc

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/api/peer"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// Load: a configuration of a thousand routes is asked for by all hosts at once.
func TestConfigsArePackedOnce(t *testing.T) {
	data := bytes.Repeat([]byte(`{"name":"r-1","host":"club.example","path_prefix":"/a/"},`), 1000)
	rec := port.ConfigRecord{Version: 7, Data: data}
	var packed packedConfig
	first, err := packed.toWire(rec)
	must.NoError(t, err)
	must.Less(t, len(data)/5, len(first.GetData()))
	second, err := packed.toWire(rec)
	must.NoError(t, err)
	must.True(t, &first.GetData()[0] == &second.GetData()[0])
	got, err := unpackConfig(first)
	must.NoError(t, err)
	must.Eq(t, rec, got)
	next, err := packed.toWire(port.ConfigRecord{Version: 8, Data: []byte("other")})
	must.NoError(t, err)
	got, err = unpackConfig(next)
	must.NoError(t, err)
	must.Eq(t, "other", string(got.Data))
}

func TestConfigsThatCannotBeUnpacked(t *testing.T) {
	for _, data := range []string{"", "no gzip"} {
		_, err := unpackConfig(&peer.ConfigRecord{Version: 1, Data: []byte(data), Gzipped: true})
		must.Error(t, err)
	}
	none, err := unpackConfig(&peer.ConfigRecord{})
	must.NoError(t, err)
	must.Eq(t, port.ConfigRecord{}, none)
}
