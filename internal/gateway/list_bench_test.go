package gateway

import (
	"fmt"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// BenchmarkListChange applies a change of one entry of the list, by the number of endpoints.
func BenchmarkListChange(b *testing.B) {
	for _, endpoints := range []int{300, 1000, 3000} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			g := New(Options{Host: "h1", Domain: "d0", Log: &log.Logger{Handler: discard.New()}})
			var entries []directory.Entry
			for i := range endpoints {
				entries = append(entries, directory.Entry{
					Name: model.EndpointName(fmt.Sprintf("i-%010d", i)), Pool: benchPool(i % benchPools), Address: fmt.Sprint("a", i),
					Domain: model.DomainName(fmt.Sprint("d", i%benchDomains)), Slots: 32, Started: 1, Software: "1.0",
				})
			}
			g.control.replaceList(at(0), port.EndpointList{Entries: entries, Next: offset(model.Offset(endpoints))}, sourceStore)
			i := 0
			for b.Loop() {
				i++
				e := entries[i%endpoints]
				e.Draining = i/endpoints%2 == 0
				e.Sequence = int64(i)
				g.control.applyRecords(at(0), []port.ListRecord{{Name: e.Name, Entry: e}}, sourceStore)
			}
		})
	}
}
