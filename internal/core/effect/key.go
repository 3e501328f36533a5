// Package effect decides whether a request that may not be repeated can be
// sent. It knows two permissions, each used at most once: a claim, which is
// the first one for a key in the order of a log stream, and a ticket, which
// one incarnation of a host issued and only that incarnation may run.
//
// The package is a state machine: typed events with a time go in, typed
// actions come out. It has no I/O, clock or goroutines.
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

// NewKey returns the Key of an idempotency key. Equal texts of two accounts
// give different keys.
func NewKey(account model.AccountName, text string) Key {
	return Key(sum([]byte(account), []byte(text)))
}

// Partition returns the partition, from 0 to count-1, that holds the key.
func (k Key) Partition(count int) int {
	return int(xxhash.Sum64(k[:]) % uint64(count))
}

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return hexText(k[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(text []byte) error { return readHex(k[:], text) }

// Digest identifies the content of a request. The same key with another
// digest is refused.
type Digest [sha256.Size]byte

// NewDigest returns the digest of a request's method, path with query, content
// type and body.
func NewDigest(method, path, contentType string, body []byte) Digest {
	return Digest(sum([]byte(method), []byte(path), []byte(contentType), body))
}

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return hexText(d[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error { return readHex(d[:], text) }

// sum hashes the parts with their lengths, so that no two lists of parts give
// the same input.
func sum(parts ...[]byte) [sha256.Size]byte {
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

func readHex(dst, text []byte) error {
	if len(text) != hex.EncodedLen(len(dst)) {
		return fmt.Errorf("%d hex digits instead of %d", len(text), hex.EncodedLen(len(dst)))
	}
	_, err := hex.Decode(dst, text)
	return err
}

// uuidTextLen is the length of a UUID in its text form.
const uuidTextLen = 36

// KeyTime returns the time that an idempotency key carries. Only a UUID of
// version 7 (RFC 9562) carries one.
func KeyTime(text string) (time.Time, bool) {
	if len(text) != uuidTextLen || text[14] != '7' || text[8] != '-' || text[13] != '-' {
		return time.Time{}, false
	}
	var millis [8]byte
	if err := readHex(millis[2:], []byte(text[:8]+text[9:13])); err != nil {
		return time.Time{}, false
	}
	return time.UnixMilli(int64(binary.BigEndian.Uint64(millis[:]))), true
}
