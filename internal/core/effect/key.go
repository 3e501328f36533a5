// Package effect ensures that a non-idempotent request takes effect at most
// once. A request is sent only under a permit, and each permit is used at most
// once. There are two sources of permits: the claim that is the first one for
// an idempotency key in the order of a log stream, and a ticket, which is issued
// by one incarnation of a host and may be used by that incarnation only. While
// the log is unavailable, requests to endpoints that deduplicate by themselves
// are sent without either.
//
// A caller may submit a request several times with the same key; each submission
// is called a try. Later tries get the response of the one that was sent.
//
// The package is a state machine: its inputs are typed events with a time, its
// outputs are typed actions. It has no I/O, clock or goroutines.
package effect

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Key identifies a caller's idempotency key within its client account.
type Key [sha256.Size]byte

// NewKey returns the Key of an idempotency key. The same text yields different
// keys for different client accounts.
func NewKey(account model.AccountName, text string) Key {
	return Key(hashParts([]byte(account), []byte(text)))
}

// Partition returns the partition, from 0 to count-1, that holds the key.
func (k Key) Partition(count int) int {
	return int(xxhash.Sum64(k[:]) % uint64(count))
}

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return hexText(k[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(text []byte) error { return decodeHex(k[:], text) }

// Digest identifies the content of a request. A try whose digest differs from
// that of the earlier request with the same key is refused.
type Digest [sha256.Size]byte

// NewDigest returns the digest of a request's method, path with query, content
// type and body.
func NewDigest(method, path, contentType string, body []byte) Digest {
	return Digest(hashParts([]byte(method), []byte(path), []byte(contentType), body))
}

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return hexText(d[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error { return decodeHex(d[:], text) }

// hashParts hashes the parts, each preceded by its length, so that no two
// different lists of parts yield the same hash input.
func hashParts(parts ...[]byte) [sha256.Size]byte {
	h := sha256.New()
	var size [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return [sha256.Size]byte(h.Sum(nil))
}

func hexText(data []byte) []byte {
	return hex.AppendEncode(nil, data)
}

// decodeHex decodes hexadecimal text into dst. It fails unless the text fills dst
// exactly.
func decodeHex(dst, text []byte) error {
	if len(text) != hex.EncodedLen(len(dst)) {
		return fmt.Errorf("%d hex digits instead of %d", len(text), hex.EncodedLen(len(dst)))
	}
	_, err := hex.Decode(dst, text)
	return err
}

// uuidTextLen is the length of a UUID in its text form.
const uuidTextLen = 36

// KeyTime returns the creation time encoded in an idempotency key. It returns
// false unless the key is a UUID of version 7 (RFC 9562).
func KeyTime(text string) (time.Time, bool) {
	if len(text) != uuidTextLen || text[14] != '7' || text[8] != '-' || text[13] != '-' {
		return time.Time{}, false
	}
	var millis [8]byte
	if err := decodeHex(millis[2:], []byte(text[:8]+text[9:13])); err != nil {
		return time.Time{}, false
	}
	return time.UnixMilli(int64(binary.BigEndian.Uint64(millis[:]))), true
}
