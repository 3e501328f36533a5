// Package api holds the published interfaces: the OpenAPI files of the caller
// and the operator side and the protocol between hosts. The code generated
// from them is committed in the packages below.
package api

//go:generate go tool -modfile=../tools/gen/go.mod ogen --target callerapi --package callerapi --clean caller.yaml
//go:generate go tool -modfile=../tools/gen/go.mod ogen --config ogen-operator.yml --target operatorapi --package operatorapi --clean operator.yaml
