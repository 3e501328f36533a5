package operatorhttp

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/apex/log"

	"github.com/wigeonsail/wigeonsail/api/operatorapi"
	"github.com/wigeonsail/wigeonsail/internal/settings"
)

// errWrongToken is the error of a request without a valid operator token.
var errWrongToken = errors.New("the token belongs to no operator")

// operatorKey is the context key of the operator's name.
type operatorKey struct{}

// operatorName returns the name of the authenticated operator.
func operatorName(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// authenticator authenticates operators by the SHA-256 digests of their tokens.
type authenticator struct {
	operators []operator
	log       log.Interface
}

type operator struct {
	name   string
	digest [sha256.Size]byte
}

func newAuthenticator(tokens []settings.Token, logger log.Interface) (*authenticator, error) {
	a := &authenticator{log: logger}
	for _, token := range tokens {
		digest, err := hex.DecodeString(token.Hash)
		if err != nil || len(digest) != sha256.Size {
			return nil, &TokenError{Operator: token.Name}
		}
		a.operators = append(a.operators, operator{name: token.Name, digest: [sha256.Size]byte(digest)})
	}
	return a, nil
}

// TokenError reports that the configured hash of an operator's token is not a
// SHA-256 digest.
type TokenError struct {
	Operator string
}

// Error implements error.
func (e *TokenError) Error() string {
	return fmt.Sprintf("operator %s: hash is not a hex SHA-256 digest", e.Operator)
}

// find returns the name of the operator with the token. It compares the token
// with every digest, so that its run time does not depend on which one matches.
func (a *authenticator) find(token string) (string, bool) {
	digest := sha256.Sum256([]byte(token))
	name := ""
	found := 0
	for i := range a.operators {
		equal := subtle.ConstantTimeCompare(digest[:], a.operators[i].digest[:])
		found |= equal
		if equal == 1 {
			name = a.operators[i].name
		}
	}
	return name, found == 1
}

// HandleOperatorToken implements operatorapi.SecurityHandler.
func (a *authenticator) HandleOperatorToken(ctx context.Context, operation operatorapi.OperationName, token operatorapi.OperatorToken) (context.Context, error) {
	name, ok := a.find(token.Token)
	if !ok {
		a.log.Warnf("operators: refused a wrong token for %s", operation)
		return ctx, errWrongToken
	}
	return context.WithValue(ctx, operatorKey{}, name), nil
}

// requireToken wraps a handler that is not part of the OpenAPI specification, and
// rejects requests without a valid operator token.
func (a *authenticator) requireToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		name, ok := a.find(token)
		if !ok {
			a.log.Warnf("operators: refused a wrong token for %s", r.URL.Path)
			writeProblem(w, problemOf(errWrongToken))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, name)))
	})
}
