// Package peer holds the gRPC protocol between entry hosts: peer.proto and the
// code generated from it.
package peer

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative peer.proto
