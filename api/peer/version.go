package peer

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Version identifies the messages between hosts of this build: it changes with peer.proto.
func Version() string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(file_peer_proto_rawDesc)))
}
