package opconfig

import (
	"crypto/sha256"
	"encoding/hex"
)

// HashKey returns the hex SHA-256 digest of an account's key or an operator's
// token, in the form used in configurations and settings.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
