package model

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies the content of a request. Requests of one client account with
// the same method, URI and body have equal fingerprints at all hosts.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(host, method, uri string, account AccountName, body []byte) Fingerprint {
	d := xxhash.New()
	for _, field := range []string{host, method, uri, string(account)} {
		writeField(d, []byte(field))
	}
	writeField(d, body)
	return Fingerprint(d.Sum64())
}

// writeField adds a field to a hash, preceded by its length, so that the boundaries of
// fields count.
func writeField(d *xxhash.Digest, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	// Writing to a hash cannot fail.
	_, _ = d.Write(length[:])
	_, _ = d.Write(field)
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// MarshalText implements encoding.TextMarshaler: JSON numbers are not exact enough.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	*f = Fingerprint(n)
	return err
}
