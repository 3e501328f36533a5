package effect

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// ticketPrefix is the prefix that distinguishes tickets from callers' own keys.
const ticketPrefix = "wst1."

// Ticket is a single-use idempotency key. Only the host incarnation that issued
// it may run its request, and only for the client account that it was issued to.
type Ticket struct {
	Issuer HostRef `json:"i"`
	Serial uint64  `json:"s"`
	// Domain is the issuer's failure domain, and Address its peer address.
	Domain  model.DomainName `json:"d"`
	Address string           `json:"a"`
	// ExpiresUnixMilli is the expiry time in Unix milliseconds.
	ExpiresUnixMilli int64 `json:"e"`
}

// Expires returns the expiry time.
func (t Ticket) Expires() time.Time { return time.UnixMilli(t.ExpiresUnixMilli) }

// ErrForgedTicket reports that a ticket was not issued to this client account by
// a host of this system, or was altered.
var ErrForgedTicket = errors.New("ticket was not issued to this account")

// ErrNoSecret reports that the hosts have no shared secret, so that forged
// tickets could not be detected.
var ErrNoSecret = errors.New("tickets need a secret that all hosts share")

// IsTicket reports whether an idempotency key has the form of a ticket.
func IsTicket(text string) bool { return strings.HasPrefix(text, ticketPrefix) }

// EncodeTicket returns the text form of a ticket for a client account, including
// a message authentication code. It returns ErrNoSecret if secret is empty.
func EncodeTicket(secret []byte, account model.AccountName, t Ticket) (string, error) {
	if len(secret) == 0 {
		return "", ErrNoSecret
	}
	payload, err := json.Marshal(t)
	if err != nil {
		return "", err
	}
	enc := base64.RawURLEncoding
	mac := ticketMAC(secret, account, payload)
	return ticketPrefix + enc.EncodeToString(payload) + "." + enc.EncodeToString(mac), nil
}

// DecodeTicket verifies the message authentication code and returns the ticket.
// The only error is ErrForgedTicket.
func DecodeTicket(secret []byte, account model.AccountName, text string) (Ticket, error) {
	rest, ok := strings.CutPrefix(text, ticketPrefix)
	if !ok {
		return Ticket{}, ErrForgedTicket
	}
	head, tail, _ := strings.Cut(rest, ".")
	enc := base64.RawURLEncoding
	payload, err := enc.DecodeString(head)
	if err != nil {
		return Ticket{}, ErrForgedTicket
	}
	mac, err := enc.DecodeString(tail)
	if err != nil || !hmac.Equal(mac, ticketMAC(secret, account, payload)) {
		return Ticket{}, ErrForgedTicket
	}
	var t Ticket
	if err := json.Unmarshal(payload, &t); err != nil {
		return Ticket{}, ErrForgedTicket
	}
	// Each ticket must have exactly one text form, but the decoders accept others.
	if again, err := EncodeTicket(secret, account, t); err != nil || again != text {
		return Ticket{}, ErrForgedTicket
	}
	return t, nil
}

// ticketMAC returns the message authentication code of an encoded ticket for a
// client account.
func ticketMAC(secret []byte, account model.AccountName, payload []byte) []byte {
	content := hashParts([]byte("ticket"), []byte(account), payload)
	h := hmac.New(sha256.New, secret)
	h.Write(content[:])
	return h.Sum(nil)
}
