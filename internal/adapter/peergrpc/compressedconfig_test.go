package peergrpc

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/api/peer"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// TestConfigIsCompressedOnce guards the load when all hosts fetch a configuration
// of a thousand routes at once: it must not be compressed for each of them.
func TestConfigIsCompressedOnce(t *testing.T) {
	data := bytes.Repeat([]byte(`{"name":"r-1","host":"club.example","path_prefix":"/a/"},`), 1000)
	rec := port.ConfigRecord{Version: 7, Data: data}
	var compressed compressedConfig
	first, err := compressed.toWire(rec)
	must.NoError(t, err)
	must.Less(t, len(data)/5, len(first.GetData()))
	second, err := compressed.toWire(rec)
	must.NoError(t, err)
	must.True(t, &first.GetData()[0] == &second.GetData()[0])
	got, err := decompressConfig(first)
	must.NoError(t, err)
	must.Eq(t, rec, got)
	next, err := compressed.toWire(port.ConfigRecord{Version: 8, Data: []byte("other")})
	must.NoError(t, err)
	got, err = decompressConfig(next)
	must.NoError(t, err)
	must.Eq(t, "other", string(got.Data))
}

func TestInvalidCompressedConfigs(t *testing.T) {
	for _, data := range []string{"", "no gzip"} {
		_, err := decompressConfig(&peer.ConfigRecord{Version: 1, Data: []byte(data), Gzipped: true})
		must.Error(t, err)
	}
	none, err := decompressConfig(&peer.ConfigRecord{})
	must.NoError(t, err)
	must.Eq(t, port.ConfigRecord{}, none)
}
