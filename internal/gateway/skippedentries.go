package gateway

import (
	"strconv"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"
)

// skippedLogInterval is the minimum time between two log lines about skipped entries. Other
// writers may write any number, and each full read of the list returns them again.
const skippedLogInterval = 10 * time.Second

// skippedEntries logs entries of the list of endpoints that cannot be decoded.
type skippedEntries struct {
	lines rate.Sometimes
	// count is the number of entries since the last line.
	count int
}

func newSkippedEntries() skippedEntries {
	return skippedEntries{lines: rate.Sometimes{Interval: skippedLogInterval}}
}

// log logs an entry, unless the last line is too recent.
func (s *skippedEntries) log(logger log.Interface, key string, err error) {
	s.count++
	s.lines.Do(func() {
		logger.WithError(err).WithFields(fields{"endpoint": strconv.Quote(key), "skipped": s.count}).Warn("lists: entry skipped, cannot be decoded")
		s.count = 0
	})
}
