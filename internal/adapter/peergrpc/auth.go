package peergrpc

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"os"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// Auth configures how hosts authenticate to each other: by mutual TLS if its
// three files are set, otherwise by a shared secret. The secret protects against
// unauthorized and misconfigured hosts; protection against eavesdropping requires
// TLS.
type Auth struct {
	// Secret is the shared secret.
	Secret string
	// CertFile, KeyFile and CAFile are PEM files; set all three or none. The
	// holder of any certificate issued by the CA is accepted as a host.
	CertFile string
	KeyFile  string
	CAFile   string
}

// AuthError reports an invalid setting of Auth.
type AuthError struct {
	// Setting is the name of the invalid setting.
	Setting string
	Cause   error
}

// Error implements error.
func (e *AuthError) Error() string {
	return "peer authentication: " + e.Setting + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *AuthError) Unwrap() error { return e.Cause }

var (
	errNoAuth   = errors.New("neither a secret nor TLS files are set")
	errPartTLS  = errors.New("set all three TLS files or none")
	errNoCACert = errors.New("no certificate in the file")
)

// usesTLS reports whether hosts use mutual TLS.
func (a Auth) usesTLS() bool { return a.CertFile != "" && a.KeyFile != "" && a.CAFile != "" }

// check returns an *AuthError if the settings select neither mutual TLS nor a
// secret.
func (a Auth) check() error {
	if a.usesTLS() {
		return nil
	}
	if a.CertFile != "" || a.KeyFile != "" || a.CAFile != "" {
		return &AuthError{Setting: "cert_file, key_file, ca_file", Cause: errPartTLS}
	}
	if a.Secret == "" {
		return &AuthError{Setting: "secret", Cause: errNoAuth}
	}
	return nil
}

// transport returns the transport credentials for clients and servers.
func (a Auth) transport() (credentials.TransportCredentials, error) {
	if err := a.check(); err != nil {
		return nil, err
	}
	if !a.usesTLS() {
		return insecure.NewCredentials(), nil
	}
	cert, err := tls.LoadX509KeyPair(a.CertFile, a.KeyFile)
	if err != nil {
		return nil, &AuthError{Setting: "cert_file, key_file", Cause: err}
	}
	pem, err := os.ReadFile(a.CAFile)
	if err != nil {
		return nil, &AuthError{Setting: "ca_file", Cause: err}
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, &AuthError{Setting: "ca_file", Cause: errNoCACert}
	}
	return &loggedCredentials{credentials.NewTLS(mutualTLS(cert, roots))}, nil
}

// mutualTLS returns a TLS configuration with which client and server verify each
// other's certificate chain. Names are not verified, since hosts are added and
// removed under addresses that no certificate lists.
func mutualTLS(cert tls.Certificate, roots *x509.CertPool) *tls.Config {
	return &tls.Config{
		Certificates:       []tls.Certificate{cert},
		MinVersion:         tls.VersionTLS13,
		ClientAuth:         tls.RequireAndVerifyClientCert,
		ClientCAs:          roots,
		InsecureSkipVerify: true, // VerifyConnection verifies the chain.
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state.PeerCertificates, roots)
		},
	}
}

func verifyChain(chain []*x509.Certificate, roots *x509.CertPool) error {
	if len(chain) == 0 {
		return errors.New("no certificate")
	}
	opts := x509.VerifyOptions{
		Roots:         roots,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, cert := range chain[1:] {
		opts.Intermediates.AddCert(cert)
	}
	_, err := chain[0].Verify(opts)
	return err
}

// loggedCredentials logs peers that fail the TLS handshake.
type loggedCredentials struct {
	credentials.TransportCredentials
}

// ServerHandshake implements credentials.TransportCredentials.
func (c *loggedCredentials) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	authenticated, info, err := c.TransportCredentials.ServerHandshake(conn)
	if err != nil {
		logRefused(conn.RemoteAddr().String(), err)
	}
	return authenticated, info, err
}

// Clone implements credentials.TransportCredentials.
func (c *loggedCredentials) Clone() credentials.TransportCredentials {
	return &loggedCredentials{c.TransportCredentials.Clone()}
}

const (
	// tokenHeader is the metadata key of the token, which is sent with each call.
	tokenHeader = "wigeonsail-peer-token"
	// tokenLabel separates this use of the secret from other uses.
	tokenLabel = "wigeonsail peer token 1"
)

// token returns the token derived from the secret. It is sent instead of the
// secret, so that an unintended receiver does not learn the secret itself.
func token(secret string) string {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte(tokenLabel))
	return hex.EncodeToString(mac.Sum(nil))
}

// tokenCredentials adds the token to each call.
type tokenCredentials struct{ token string }

// GetRequestMetadata implements credentials.PerRPCCredentials.
func (c tokenCredentials) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	return map[string]string{tokenHeader: c.token}, nil
}

// RequireTransportSecurity implements credentials.PerRPCCredentials.
func (tokenCredentials) RequireTransportSecurity() bool { return false }

// checkToken returns an error with code Unauthenticated for a call without the
// expected token.
func checkToken(ctx context.Context, want string) error {
	md, _ := metadata.FromIncomingContext(ctx)
	got := md.Get(tokenHeader)
	if len(got) == 1 && hmac.Equal([]byte(got[0]), []byte(want)) {
		return nil
	}
	cause := fmt.Errorf("%d tokens, none valid", len(got))
	logRefused(remoteAddress(ctx), cause)
	return status.Error(codes.Unauthenticated, "no valid peer token")
}
