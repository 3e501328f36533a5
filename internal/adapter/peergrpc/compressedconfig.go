package peergrpc

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"sync"

	"github.com/wigeonsail/wigeonsail/api/peer"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// maxConfigBytes bounds the uncompressed size of a configuration from a peer.
const maxConfigBytes = 64 << 20

var errConfigTooLarge = errors.New("configuration from the peer exceeds 64 MiB uncompressed")

// compressedConfig caches the newest configuration in compressed form: all hosts
// of a large fleet may fetch it at nearly the same time, and a slow link has to
// carry it many times.
type compressedConfig struct {
	mu      sync.Mutex
	version model.Version
	data    []byte
}

// toWire returns the wire form of a record, with compressed data.
func (c *compressedConfig) toWire(rec port.ConfigRecord) (*peer.ConfigRecord, error) {
	out := configToWire(rec)
	if len(rec.Data) == 0 {
		return out, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version != rec.Version || c.data == nil {
		data, err := compress(rec.Data)
		if err != nil {
			return nil, err
		}
		c.version, c.data = rec.Version, data
	}
	out.Data = c.data
	out.Gzipped = true
	return out, nil
}

func compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// decompressConfig returns the record in a peer's message, with its data
// decompressed.
func decompressConfig(rec *peer.ConfigRecord) (port.ConfigRecord, error) {
	out := configFromWire(rec)
	if !rec.GetGzipped() {
		return out, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(rec.GetData()))
	if err != nil {
		return port.ConfigRecord{}, err
	}
	out.Data, err = io.ReadAll(io.LimitReader(r, maxConfigBytes+1))
	if err == nil && len(out.Data) > maxConfigBytes {
		err = errConfigTooLarge
	}
	if err != nil {
		return port.ConfigRecord{}, err
	}
	return out, nil
}
