// Package bytebudget accounts for the memory that a host holds for the requests in
// progress: their bodies, and the bytes of responses that callers have not read yet. It
// decides which bodies are accepted and which caller is shed if there is no room for a
// response. It is a state machine without I/O, clock and locks.
package bytebudget

import "time"

const (
	// SmallBody is the size up to which the body of a request counts as small.
	SmallBody = 64 << 10
	// requestOverhead is what a request takes apart from bodies and events: buffers of two
	// connections, headers and the stacks of its goroutines.
	requestOverhead = 16 << 10
	// largeShare and smallShare are the shares of the limit that may be in use when a large
	// or a small body is accepted. The rest is for small ones, and for responses.
	largeShare = 0.85
	smallShare = 0.95
	// firstBuffers is the size up to which the buffers of a response may use the whole limit.
	firstBuffers = 8 << 10
	// bufferShare and smallBufferShare are the shares of the limit that all buffers may take
	// when a large or a small one is added, responseShare that which may be in use then.
	bufferShare      = 0.5
	smallBufferShare = 0.6
	responseShare    = 0.93
	// minWait is how long a caller must have read nothing before it may be shed.
	minWait = time.Second
)

// Holder is what is held for one request.
type Holder struct {
	// rank orders the callers that are shed: the largest first.
	rank int
	// body and unread are the bytes of the request and of its response, buffered those of
	// the buffers from which the response is read.
	body, unread, buffered int64
	// waitingSince is since when the caller has read nothing although there was something
	// for it; zero if nothing is being sent.
	waitingSince time.Time
	shed         bool
	// blockedSince is since when there is no room for a buffer; zero if there is.
	blockedSince time.Time
}

// Budget is the account of a host. It is not safe for concurrent use.
type Budget struct {
	limit int64
	// used are the bytes that are held; unread and buffered are those of them that belong to
	// responses.
	used, unread, buffered int64
	// broken is the response that is being broken off; nil for none.
	broken  *Holder
	holders map[*Holder]struct{}
}

// New returns an empty account with a limit in bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, holders: make(map[*Holder]struct{})}
}

// Used returns the bytes that are held.
func (b *Budget) Used() int64 { return b.used }

// Limit returns the limit in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Count returns the number of requests in progress.
func (b *Budget) Count() int { return len(b.holders) }

// Admit accepts a request with a body of a size, or returns nil if there is no room.
func (b *Budget) Admit(body int64) *Holder {
	if !b.CanAdmit(body) {
		return nil
	}
	h := &Holder{}
	b.holders[h] = struct{}{}
	b.addBody(h, body+requestOverhead)
	return h
}

// CanAdmit reports whether Admit would accept a request with a body of a size.
func (b *Budget) CanAdmit(body int64) bool { return b.fits(&Holder{}, body+requestOverhead) }

// GrowBody adds bytes to the body of a request. It returns false if there is no room.
func (b *Budget) GrowBody(h *Holder, n int64) bool {
	if !b.fits(h, n) {
		return false
	}
	b.addBody(h, n)
	return true
}

// fits reports whether there is room for n more bytes of a request.
func (b *Budget) fits(h *Holder, n int64) bool {
	share := largeShare
	if h.body+n <= SmallBody+requestOverhead {
		share = smallShare
	}
	return float64(b.used+n) <= share*float64(b.limit)
}

func (b *Budget) addBody(h *Holder, n int64) {
	h.body += n
	b.used += n
}

// SetRank sets the rank of a request; callers with the largest one are shed first.
func (b *Budget) SetRank(h *Holder, rank int) { h.rank = rank }

// AddUnread adds bytes of a response that the caller has not read. It returns false if there
// is no room, and then the request to shed for it; nil if none may be shed. One response
// always fits, so that a request that was accepted can be answered.
func (b *Budget) AddUnread(now time.Time, h *Holder, n int64) (bool, *Holder) {
	if !b.fitsResponse(n) {
		return false, b.shedSlowest(now)
	}
	if h.unread == 0 && !h.waitingSince.IsZero() {
		// The caller had read everything.
		h.waitingSince = now
	}
	h.unread += n
	b.unread += n
	b.used += n
	return true, nil
}

// fitsResponse reports whether there is room for n more bytes of a response.
func (b *Budget) fitsResponse(n int64) bool {
	return b.used+n <= b.limit || b.unread+b.buffered == 0
}

// fitsBuffer reports whether there is room for n more bytes of buffers, so that room is left
// for the requests and responses of others.
func (b *Budget) fitsBuffer(h *Holder, n int64) bool {
	size, limit := h.buffered+n, float64(b.limit)
	if size <= firstBuffers || b.unread+b.buffered == 0 {
		return b.fitsResponse(n)
	}
	share := bufferShare
	if size <= SmallBody {
		share = smallBufferShare
	}
	return float64(b.buffered+n) <= share*limit && float64(b.used+n) <= responseShare*limit
}

// AddBuffer adds bytes of a buffer for a response that is being read. Its results are those
// of AddUnread. No caller is shed for large buffers that exceed what is held for it.
func (b *Budget) AddBuffer(now time.Time, h *Holder, n int64) (bool, *Holder) {
	if !b.fitsBuffer(h, n) {
		if h.blockedSince.IsZero() {
			h.blockedSince = now
		}
		size := h.buffered + n
		if slowest := b.slowest(now); slowest == nil || slowest.unread < size && size > SmallBody {
			return false, nil
		}
		return false, b.shedSlowest(now)
	}
	b.resume(h)
	h.buffered += n
	b.buffered += n
	b.used += n
	return true, nil
}

// resume marks a response for whose buffer there is room, or that has ended.
func (b *Budget) resume(h *Holder) {
	h.blockedSince = time.Time{}
	if b.broken == h {
		b.broken = nil
	}
}

// BreakOff returns the response to break off when that of h has found no room for a buffer for
// minWait: the one of those without room that has the largest buffers. It returns the same one
// until that has ended, and nil if there is none; chosen reports that it was not returned before.
func (b *Budget) BreakOff(now time.Time, h *Holder) (broken *Holder, chosen bool) {
	if b.broken != nil || h.blockedSince.IsZero() || now.Sub(h.blockedSince) < minWait {
		return b.broken, false
	}
	for other := range b.holders {
		if other.blockedSince.IsZero() || other.buffered == 0 {
			continue
		}
		if b.broken == nil || other.buffered > b.broken.buffered {
			b.broken = other
		}
	}
	return b.broken, b.broken != nil
}

// KeepBuffer turns bytes of buffers into bytes that the caller has not read.
func (b *Budget) KeepBuffer(h *Holder, n int64) {
	n = min(n, h.buffered)
	h.buffered -= n
	b.buffered -= n
	h.unread += n
	b.unread += n
}

// FreeBuffer removes bytes of buffers.
func (b *Budget) FreeBuffer(h *Holder, n int64) {
	n = min(n, h.buffered)
	h.buffered -= n
	b.buffered -= n
	b.used -= n
	if h.buffered == 0 {
		b.resume(h)
	}
}

// shedSlowest marks the request to shed: of those with the largest rank whose callers have
// read nothing for minWait, the one whose caller has done so for longest.
func (b *Budget) shedSlowest(now time.Time) *Holder {
	slowest := b.slowest(now)
	if slowest != nil {
		slowest.shed = true
	}
	return slowest
}

// slowest returns the request that shedSlowest marks, or nil.
func (b *Budget) slowest(now time.Time) *Holder {
	var slowest *Holder
	for h := range b.holders {
		if h.shed || h.unread == 0 || h.waitingSince.IsZero() || now.Sub(h.waitingSince) < minWait {
			continue
		}
		if slowest == nil || h.rank > slowest.rank || h.rank == slowest.rank && h.waitingSince.Before(slowest.waitingSince) {
			slowest = h
		}
	}
	return slowest
}

// Send records that bytes of the response are being sent to the caller.
func (b *Budget) Send(now time.Time, h *Holder) { h.waitingSince = now }

// Read removes bytes that the caller has read.
func (b *Budget) Read(now time.Time, h *Holder, n int64) {
	n = min(n, h.unread)
	h.unread -= n
	b.unread -= n
	h.waitingSince = now
	b.used -= n
}

// Release removes a request. It may be repeated.
func (b *Budget) Release(h *Holder) {
	if _, found := b.holders[h]; !found {
		return
	}
	delete(b.holders, h)
	b.unread -= h.unread
	b.buffered -= h.buffered
	b.used -= h.body + h.unread + h.buffered
	h.unread, h.buffered = 0, 0
	b.resume(h)
}
