package peergrpc

import (
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc/encoding"

	"github.com/wigeonsail/wigeonsail/api/peer"
)

// A message must not take a buffer far larger than itself.
func TestMessagesTakeBuffersOfTheirSize(t *testing.T) {
	for _, endpoints := range []int{1, 100, 2000} {
		want := loadDigestToWire(digestOf(endpoints))
		data, err := messageCodec{}.Marshal(want)
		must.NoError(t, err)
		size, buffers := 0, 0
		for _, b := range data {
			size += b.Len()
			buffers += cap(b.ReadOnlyData())
		}
		must.LessEq(t, 2*size, buffers)
		var got peer.LoadDigest
		must.NoError(t, messageCodec{}.Unmarshal(data, &got))
		must.Eq(t, loadDigestFromWire(want), loadDigestFromWire(&got))
		data.Free()
	}
	must.Eq(t, encoding.GetCodecV2("proto").Name(), messageCodec{}.Name())
}
