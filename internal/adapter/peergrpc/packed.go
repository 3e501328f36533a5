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

// maxConfigBytes bounds a configuration that a peer sends.
const maxConfigBytes = 64 << 20

var errLargeConfig = errors.New("the configuration is too large")

// packedConfig keeps the newest configuration compressed: all hosts of a large
// fleet may ask for it within moments, and a slow link carries it many times.
type packedConfig struct {
	mu      sync.Mutex
	version model.Version
	data    []byte
}

// toWire returns the record with compressed data.
func (p *packedConfig) toWire(rec port.ConfigRecord) (*peer.ConfigRecord, error) {
	out := configToWire(rec)
	if len(rec.Data) == 0 {
		return out, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version != rec.Version || p.data == nil {
		data, err := pack(rec.Data)
		if err != nil {
			return nil, err
		}
		p.version, p.data = rec.Version, data
	}
	out.Data = p.data
	out.Gzipped = true
	return out, nil
}

func pack(data []byte) ([]byte, error) {
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

// unpackConfig returns a peer's record.
func unpackConfig(rec *peer.ConfigRecord) (port.ConfigRecord, error) {
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
		err = errLargeConfig
	}
	if err != nil {
		return port.ConfigRecord{}, err
	}
	return out, nil
}
