package port

import "sync"

// EncodedLoads keeps the encoded form of a list of loads that is sent to many hosts, so
// that it is encoded once. It is safe for concurrent use; nil keeps nothing.
type EncodedLoads struct {
	once sync.Once
	data []byte
	err  error
}

// Data returns the encoded form. It calls encode only the first time.
func (e *EncodedLoads) Data(encode func() ([]byte, error)) ([]byte, error) {
	if e == nil {
		return encode()
	}
	e.once.Do(func() { e.data, e.err = encode() })
	return e.data, e.err
}
