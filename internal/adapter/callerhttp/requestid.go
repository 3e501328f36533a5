package callerhttp

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// headerRequestID is the response header with the request ID.
const headerRequestID = "X-Request-Id"

// requestIDBytes is the size of a request ID before hex encoding.
const requestIDBytes = 12

type requestIDKey struct{}

// withRequestID is a middleware that assigns a new ID to each request. IDs sent by
// callers are not used, since two callers may send the same one.
func withRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var raw [requestIDBytes]byte
		rand.Read(raw[:])
		id := model.RequestID(hex.EncodeToString(raw[:]))
		w.Header().Set(headerRequestID, string(id))
		ctx := context.WithValue(r.Context(), requestIDKey{}, id)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func requestID(ctx context.Context) model.RequestID {
	id, _ := ctx.Value(requestIDKey{}).(model.RequestID)
	return id
}
