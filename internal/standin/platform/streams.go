package platform

import (
	"context"
	"sync"
	"time"
)

// maxReadBytes bounds the data of one read; one record always fits.
const maxReadBytes = 4 << 20

// record is one stored entry.
type record struct {
	data []byte
	at   time.Time
}

// stream holds the records from offset earliest on.
type stream struct {
	earliest uint64
	records  []record
	// changed is closed by the next append.
	changed chan struct{}
	appends uint64
}

func (s *stream) next() uint64 { return s.earliest + uint64(len(s.records)) }

func (s *stream) drop(n int) {
	s.records = s.records[n:]
	s.earliest += uint64(n)
}

// streams is the log's content.
type streams struct {
	retainRecords int
	retainAge     time.Duration

	mu     sync.Mutex
	byName map[string]*stream
}

func newStreams(opts Options) *streams {
	return &streams{
		retainRecords: opts.RetainRecords,
		retainAge:     opts.RetainAge,
		byName:        map[string]*stream{},
	}
}

// get returns the named stream after retention. The caller holds mu.
func (s *streams) get(name string) *stream {
	st, ok := s.byName[name]
	if !ok {
		st = &stream{changed: make(chan struct{})}
		s.byName[name] = st
	}
	s.retain(st)
	return st
}

func (s *streams) retain(st *stream) {
	oldest := time.Now().Add(-s.retainAge)
	n := max(0, len(st.records)-s.retainRecords)
	for n < len(st.records) && st.records[n].at.Before(oldest) {
		n++
	}
	st.drop(n)
}

// append adds a record and returns its offset.
func (s *streams) append(name string, data []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.get(name)
	offset := st.next()
	st.records = append(st.records, record{data: data, at: time.Now()})
	st.appends++
	close(st.changed)
	st.changed = make(chan struct{})
	return offset
}

// dropAll drops the records of all streams and keeps their offsets.
func (s *streams) dropAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.byName {
		st.drop(len(st.records))
	}
}

// appends returns the number of appends by stream.
func (s *streams) appends() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]uint64, len(s.byName))
	for name, st := range s.byName {
		counts[name] = st.appends
	}
	return counts
}

// batch is a run of records.
type batch struct {
	records        [][]byte
	earliest, next uint64
}

// read returns the records from an offset on, and a channel that is closed by
// the stream's next append.
func (s *streams) read(name string, from uint64) (batch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.get(name)
	res := batch{earliest: st.earliest, next: st.next()}
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

// readWait reads like read and waits up to wait for a first record.
func (s *streams) readWait(ctx context.Context, name string, from uint64, wait time.Duration) batch {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		res, changed := s.read(name, from)
		if len(res.records) > 0 || from < res.earliest || wait <= 0 {
			return res
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return res
		}
	}
}
