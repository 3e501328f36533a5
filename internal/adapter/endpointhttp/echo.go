package endpointhttp

import (
	"fmt"
	"net/http"
	"sync"

	"github.com/wigeonsail/wigeonsail/internal/httphead"
)

// An endpoint may send a response twice, and the second copy may arrive when its
// connection carries the next request already. Only the request ID in a response
// shows to which request it belongs. So connections are reused only for endpoints
// that return the ID, and a response with another ID is an error.

// MismatchError reports that a response belongs to another request.
type MismatchError struct {
	// Want is the ID of the request, Got that in the response.
	Want, Got string
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("response to request %q received for request %q", e.Got, e.Want)
}

// echoTransport is an http.RoundTripper that checks the request IDs of responses.
type echoTransport struct {
	base *http.Transport
	// fresh opens a connection for each request.
	fresh *http.Transport
	// echoes contains the addresses whose last response had the request's ID.
	echoes sync.Map
}

// firstAttempt is the number of the first attempt of a request.
const firstAttempt = "1"

// RoundTrip implements http.RoundTripper.
func (t *echoTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if _, echoes := t.echoes.Load(req.URL.Host); !echoes {
		req = req.Clone(req.Context())
		req.Close = true
	}
	base := t.base
	if attempt := req.Header.Get(HeaderAttempt); attempt != "" && attempt != firstAttempt {
		// A late copy of the response to an earlier attempt has the same ID.
		base = t.fresh
	}
	res, err := httphead.Transport{Base: base}.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	want, got := req.Header.Get(HeaderRequestID), res.Header.Get(HeaderRequestID)
	switch got {
	case "":
		t.echoes.Delete(req.URL.Host)
	case want:
		t.echoes.Store(req.URL.Host, struct{}{})
	default:
		// Without a read to its end, the connection is not reused.
		_ = res.Body.Close()
		return nil, &MismatchError{Want: want, Got: got}
	}
	return res, nil
}

// CloseIdleConnections closes the idle connections. http.Client calls it.
func (t *echoTransport) CloseIdleConnections() { t.base.CloseIdleConnections() }
