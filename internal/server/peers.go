package server

import (
	"github.com/wigeonsail/wigeonsail/internal/adapter/peergrpc"
	"github.com/wigeonsail/wigeonsail/internal/settings"
)

// peerAuth returns the credentials with which hosts authenticate to each other.
func peerAuth(s *settings.Settings) peergrpc.Auth {
	return peergrpc.Auth{
		Secret:   s.Peers.Secret,
		CertFile: s.Peers.CertFile,
		KeyFile:  s.Peers.KeyFile,
		CAFile:   s.Peers.CAFile,
	}
}
