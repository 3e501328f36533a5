package peergrpc

import (
	"fmt"

	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/proto"
)

// Sizes of the pooled buffers of messages: the powers of two between these.
const (
	minPooledBytes = 2 << 10
	maxPooledBytes = 1 << 20
)

// messageBuffers is the pool of the messageCodec.
var messageBuffers = newMessageBuffers()

func newMessageBuffers() mem.BufferPool {
	var sizes []int
	for size := minPooledBytes; size <= maxPooledBytes; size *= 2 {
		sizes = append(sizes, size)
	}
	return mem.NewTieredBufferPool(sizes...)
}

// messageCodec encodes and decodes messages in buffers of at most twice their size. The
// default codec takes a buffer of 1 MiB for each message over 32 KiB, and a relay has one
// in flight to each host of its failure domain.
type messageCodec struct{}

// Marshal implements encoding.CodecV2. It leaves out what has text that cannot be sent.
func (messageCodec) Marshal(v any) (mem.BufferSlice, error) {
	if attempt, ok := v.(*attemptMessage); ok {
		return attempt.encode()
	}
	message, ok := v.(proto.Message)
	if !ok {
		return nil, fmt.Errorf("encode %T: not a protocol buffer message", v)
	}
	out, err := encode(message)
	if err == nil {
		return out, nil
	}
	if valid, changed := withValidText(message); changed {
		return encode(valid)
	}
	return nil, err
}

// encode encodes a message into a buffer of the pool, unless it is small.
func encode(message proto.Message) (mem.BufferSlice, error) {
	size := proto.Size(message)
	if mem.IsBelowBufferPoolingThreshold(size) {
		data, err := proto.Marshal(message)
		return mem.BufferSlice{mem.SliceBuffer(data)}, err
	}
	buf := messageBuffers.Get(size)
	data, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend((*buf)[:0], message)
	if err != nil {
		messageBuffers.Put(buf)
		return nil, err
	}
	*buf = data
	return mem.BufferSlice{mem.NewBuffer(buf, messageBuffers)}, nil
}

// Unmarshal implements encoding.CodecV2.
func (messageCodec) Unmarshal(data mem.BufferSlice, v any) error {
	message, ok := v.(proto.Message)
	if !ok {
		return fmt.Errorf("decode %T: not a protocol buffer message", v)
	}
	buf := data.MaterializeToBuffer(messageBuffers)
	defer buf.Free()
	return proto.Unmarshal(buf.ReadOnlyData(), message)
}

// Name implements encoding.CodecV2. The encoding on the wire is that of the default codec.
func (messageCodec) Name() string { return "proto" }
