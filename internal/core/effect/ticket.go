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

// ticketPrefix starts every ticket and tells it from a caller's own key.
const ticketPrefix = "wst1."

// Ticket is a single-use key. Only the incarnation that issued it may run it,
// and only for the account that asked for it.
type Ticket struct {
	Issuer HostRef `json:"i"`
	Serial uint64  `json:"s"`
	// Domain and Address say where the issuer serves its peers.
	Domain  model.DomainName `json:"d"`
	Address string           `json:"a"`
	// ExpiresUnixMilli is when the ticket can no longer be used.
	ExpiresUnixMilli int64 `json:"e"`
}

// Expires returns when the ticket can no longer be used.
func (t Ticket) Expires() time.Time { return time.UnixMilli(t.ExpiresUnixMilli) }

// ErrForgedTicket tells that a ticket was not issued by a host of this system
// to this account, or was altered.
var ErrForgedTicket = errors.New("ticket was not issued to this account")

// ErrNoSecret tells that the hosts have no secret, so that no ticket can be
// told from a forged one.
var ErrNoSecret = errors.New("tickets need a secret that all hosts share")

// IsTicket tells whether an idempotency key has the form of a ticket.
func IsTicket(text string) bool { return strings.HasPrefix(text, ticketPrefix) }

// EncodeTicket writes the ticket for an account, with its authentication code.
// It fails with ErrNoSecret.
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

// DecodeTicket checks the authentication code and returns the ticket. Every
// failure is ErrForgedTicket.
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
	// One ticket has one text: the decoder would also take other spellings.
	if again, err := EncodeTicket(secret, account, t); err != nil || again != text {
		return Ticket{}, ErrForgedTicket
	}
	return t, nil
}

func ticketMAC(secret []byte, account model.AccountName, payload []byte) []byte {
	content := sum([]byte("ticket"), []byte(account), payload)
	h := hmac.New(sha256.New, secret)
	h.Write(content[:])
	return h.Sum(nil)
}
