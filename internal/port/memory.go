package port

import (
	"context"
	"errors"
)

// ErrShed is the cause with which the response to a caller that reads slowly is cut off, as
// the memory is needed for others.
var ErrShed = errors.New("the caller reads too slowly, and the memory for responses is used up")

// ErrNoRoom is the cause with which a response is broken off, as it is the largest one of those
// that wait for memory.
var ErrNoRoom = errors.New("there is no memory to read the response to its end")

// MemoryHold is the memory that is held for one request and its response. A nil value of a
// RoutedCall stands for memory that is not accounted for.
type MemoryHold interface {
	// GrowBody adds bytes of the request's body, of which the length was not known. It
	// returns the error to send to the caller if there is no room; nil otherwise.
	GrowBody(bytes int64) *RequestError
	// AddUnread adds bytes of the response before they are read from the endpoint. It waits
	// until there is room, and fails when ctx ends before.
	AddUnread(ctx context.Context, bytes int64) error
	// AddBuffer adds bytes of a buffer for a response that is being read from the endpoint,
	// before it is allocated. It waits as AddUnread does, and fails with ErrNoRoom if the
	// response is broken off.
	AddBuffer(ctx context.Context, bytes int64) error
	// FreeBuffer frees bytes of buffers.
	FreeBuffer(bytes int64)
	// KeepBuffer turns bytes of buffers that hold a whole response into bytes of it that the
	// caller has not read.
	KeepBuffer(bytes int64)
	// OnShed sets what cuts the response off, if its caller reads too slowly. It must be
	// called before AddUnread and AddBuffer. cut must not block or use the hold, and is not called after
	// Release.
	OnShed(cut func())
	// Release frees all of it.
	Release()
}
