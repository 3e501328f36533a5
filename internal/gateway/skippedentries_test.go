package gateway

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// refusingDecoder decodes no entry whose value is unreadable.
type refusingDecoder struct{ endpointDecoder }

const unreadable = "unreadable"

func (refusingDecoder) Endpoint(key string, value []byte) (directory.Entry, error) {
	if string(value) == unreadable {
		return directory.Entry{}, errors.New(unreadable)
	}
	return endpointDecoder{}.Endpoint(key, value)
}

// Another writer writes any number of entries that cannot be decoded, also under the name of
// an endpoint. They name no endpoint, the others hold, the position goes on, and the log
// stays short.
func TestForeignEntriesCostThemselvesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logged := memory.New()
		g := New(Options{Host: "h1", Domain: "north", Decoder: refusingDecoder{}, Log: &log.Logger{Handler: logged}})
		c := g.control
		read := func(offset model.Offset, full bool, records ...port.KeyedRecord) {
			for i := range records {
				records[i].Offset = offset - model.Offset(len(records)-i)
			}
			update := g.decodeEndpoints(port.KeyedBatch{Records: records, Next: model.Position{Era: 1, Offset: offset}}, full)
			update.asOf = time.Now()
			c.applyListRead(time.Now(), update)
		}
		sound := func(name string) port.KeyedRecord { return port.KeyedRecord{Key: name, Value: []byte{1}} }
		read(2, true, sound("a"), sound("b"))
		next := model.Offset(2)
		for i := range 1000 {
			next += 2
			read(next, false, port.KeyedRecord{Key: fmt.Sprintf("z\xfcrich-%d", i), Value: []byte(unreadable)}, sound(fmt.Sprint("new-", i%10)))
			time.Sleep(20 * time.Millisecond)
		}
		must.Eq(t, offset(next), c.nextInList)
		must.Eq(t, 12, c.directory.Len())
		skipped := 0
		for _, e := range logged.Entries {
			if e.Message == "lists: entry skipped, cannot be decoded" {
				skipped++
			}
		}
		must.Between(t, 1, skipped, 3)

		read(next+1, false, port.KeyedRecord{Key: "a", Value: []byte(unreadable)})
		must.False(t, isListed(c.directory, "a"), must.Sprint("its newest record names no endpoint"))
		read(next+2, false, sound("a"))
		must.True(t, isListed(c.directory, "a"))
	})
}
