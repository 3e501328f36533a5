package peergrpc

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/port"
)

// newTestCA creates a CA and a certificate issued by it, and returns their files.
func newTestCA(t *testing.T) Auth {
	t.Helper()
	dir := t.TempDir()
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, name)
		must.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		return path
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	ca := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	caDER, err := x509.CreateCertificate(rand.Reader, ca, ca, &key.PublicKey, key)
	must.NoError(t, err)
	host := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "host"}, NotAfter: time.Now().Add(time.Hour)}
	hostDER, err := x509.CreateCertificate(rand.Reader, host, ca, &key.PublicKey, key)
	must.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	must.NoError(t, err)
	return Auth{
		CAFile:   write("ca.pem", "CERTIFICATE", caDER),
		CertFile: write("cert.pem", "CERTIFICATE", hostDER),
		KeyFile:  write("key.pem", "PRIVATE KEY", keyDER),
	}
}

func TestMutualTLS(t *testing.T) {
	own, other := newTestCA(t), newTestCA(t)
	for name, tc := range map[string]struct {
		client Auth
		ok     bool
	}{
		"same CA":                  {own, true},
		"another CA":               {other, false},
		"another CA, ours trusted": {Auth{CertFile: other.CertFile, KeyFile: other.KeyFile, CAFile: own.CAFile}, false},
		"secret, no TLS":           {secret, false},
	} {
		t.Run(name, func(t *testing.T) {
			c, address, _ := serve(t, own, tc.client, &fakeHandler{exchange: echo})
			_, err := c.Exchange(t.Context(), address, port.Heartbeat{})
			must.Eq(t, tc.ok, err == nil)
			if !tc.ok {
				must.False(t, peerErrorOf(t, err).Sent)
			}
		})
	}
}

func TestAuthSettings(t *testing.T) {
	for _, auth := range []Auth{{}, {CertFile: "c"}, {Secret: "s", CertFile: "c", KeyFile: "k"}, {CertFile: "c", KeyFile: "k", CAFile: "a"}} {
		_, err := NewServer(auth, &fakeHandler{})
		must.ErrorContains(t, err, "peer authentication: ")
		_, err = NewClient(auth)
		must.Error(t, err)
	}
}
