package platform

import (
	"context"
	"slices"
	"sync"
	"time"
)

// maxReadBytes is the size limit of the records in one read. The first record
// is always returned.
const maxReadBytes = 4 << 20

// record is a stored record with the time of its append.
type record struct {
	data []byte
	at   time.Time
}

// stream is one append-only log. It holds the records from offset earliest on.
type stream struct {
	earliest uint64
	records  []record
	// changed is closed and replaced by each append.
	changed chan struct{}
	appends uint64
}

// next returns the offset of the next append.
func (s *stream) next() uint64 { return s.earliest + uint64(len(s.records)) }

// dropOldest drops the n oldest records.
func (s *stream) dropOldest(n int) {
	s.records = s.records[n:]
	s.earliest += uint64(n)
}

// streams holds all streams of the log.
type streams struct {
	retainRecords int
	retainAge     time.Duration

	mu     sync.Mutex
	byName map[string]*stream
	// era rises with each restoration. copied holds the copy from which the next
	// one restores.
	era    uint64
	copied map[string]*stream
}

func newStreams(opts Options) *streams {
	return &streams{
		retainRecords: opts.RetainRecords,
		retainAge:     opts.RetainAge,
		byName:        map[string]*stream{},
	}
}

// copyAll takes the copy from which restore restores.
func (s *streams) copyAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = cloneStreams(s.byName)
}

// restore replaces all streams by their copy and begins a new era. The records
// appended since the copy are lost.
func (s *streams) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.byName {
		close(st.changed)
	}
	s.byName = cloneStreams(s.copied)
	s.era++
}

// currentEra returns the current era.
func (s *streams) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func cloneStreams(from map[string]*stream) map[string]*stream {
	out := make(map[string]*stream, len(from))
	for name, st := range from {
		out[name] = &stream{
			earliest: st.earliest, records: slices.Clone(st.records), appends: st.appends, changed: make(chan struct{}),
		}
	}
	return out
}

// retainedStream returns the named stream after dropping the records whose
// retention has ended. It creates the stream on first use. The caller holds mu.
func (s *streams) retainedStream(name string) *stream {
	st, ok := s.byName[name]
	if !ok {
		st = &stream{changed: make(chan struct{})}
		s.byName[name] = st
	}
	s.retain(st)
	return st
}

// retain drops the records that exceed the limits of number and age.
func (s *streams) retain(st *stream) {
	oldest := time.Now().Add(-s.retainAge)
	n := max(0, len(st.records)-s.retainRecords)
	for n < len(st.records) && st.records[n].at.Before(oldest) {
		n++
	}
	st.dropOldest(n)
}

// append adds a record and returns its offset.
func (s *streams) append(name string, data []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.retainedStream(name)
	offset := st.next()
	st.records = append(st.records, record{data: data, at: time.Now()})
	st.appends++
	close(st.changed)
	st.changed = make(chan struct{})
	return offset
}

// dropAll drops the records of all streams. Offsets continue from where they
// were.
func (s *streams) dropAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.byName {
		st.dropOldest(len(st.records))
	}
}

// appends returns the number of records appended, by stream.
func (s *streams) appends() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]uint64, len(s.byName))
	for name, st := range s.byName {
		counts[name] = st.appends
	}
	return counts
}

// batch is the result of a read: consecutive records, and the stream's earliest
// and next offsets.
type batch struct {
	records        [][]byte
	earliest, next uint64
	era            uint64
}

// read returns the records from an offset on, up to maxReadBytes, and a channel
// that is closed by the stream's next append.
func (s *streams) read(name string, from uint64) (batch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.retainedStream(name)
	res := batch{earliest: st.earliest, next: st.next(), era: s.era}
	size := 0
	for offset := max(from, st.earliest); offset < st.next(); offset++ {
		data := st.records[offset-st.earliest].data
		size += len(data)
		if size > maxReadBytes && len(res.records) > 0 {
			break
		}
		res.records = append(res.records, data)
	}
	return res, st.changed
}

// readWait is like read, but waits up to wait for a first record. It returns at
// once if records from the offset on have been dropped or were never appended.
func (s *streams) readWait(ctx context.Context, name string, from uint64, wait time.Duration) batch {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		res, changed := s.read(name, from)
		if len(res.records) > 0 || from < res.earliest || from > res.next || wait <= 0 {
			return res
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return res
		}
	}
}
