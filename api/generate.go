// Package api holds the published interfaces: the OpenAPI descriptions of the
// caller API and the operator API, and the gRPC protocol between entry hosts. The
// code generated from them is committed in the subdirectories.
package api

//go:generate go tool -modfile=../tools/gen/go.mod ogen --target callerapi --package callerapi --clean caller.yaml
//go:generate go tool -modfile=../tools/gen/go.mod ogen --config ogen-operator.yml --target operatorapi --package operatorapi --clean operator.yaml
