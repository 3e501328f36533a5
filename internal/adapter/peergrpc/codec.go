package peergrpc

import (
	"fmt"

	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/proto"
)

// messageCodec encodes and decodes messages in buffers of their size. The default codec
// takes a buffer of 1 MiB for each message over 32 KiB, and a relay has one in flight to
// each host of its failure domain.
type messageCodec struct{}

// Marshal implements encoding.CodecV2.
func (messageCodec) Marshal(v any) (mem.BufferSlice, error) {
	message, ok := v.(proto.Message)
	if !ok {
		return nil, fmt.Errorf("encode %T: not a protocol buffer message", v)
	}
	data, err := proto.Marshal(message)
	if err != nil {
		return nil, err
	}
	return mem.BufferSlice{mem.SliceBuffer(data)}, nil
}

// Unmarshal implements encoding.CodecV2.
func (messageCodec) Unmarshal(data mem.BufferSlice, v any) error {
	message, ok := v.(proto.Message)
	if !ok {
		return fmt.Errorf("decode %T: not a protocol buffer message", v)
	}
	return proto.Unmarshal(data.Materialize(), message)
}

// Name implements encoding.CodecV2. The encoding on the wire is that of the default codec.
func (messageCodec) Name() string { return "proto" }
