package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/resume"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// versionRecord returns the record of an endpoint of a version.
func versionRecord(name model.EndpointName, software model.SoftwareVersion) port.ListRecord {
	return port.ListRecord{Name: name, Entry: directory.Entry{Name: name, Pool: "p", Address: string(name), Domain: "north", Slots: 4, Started: 1, Software: software}}
}

// newSoleControl returns the state of a host that has read a list with one version.
func newSoleControl(t *testing.T) *control {
	c, _ := newTestControl(t)
	c.applyListRead(at(0), listUpdate{asOf: at(0), full: true, records: []port.ListRecord{versionRecord("a", "v1")}, next: offset(5)})
	return c
}

// isSole reports whether the history shows one version for the shortest life of a stream.
func isSole(c *control, now time.Time) bool {
	_, sole := c.streams.SoleVersion(now, "p", resume.MinStreamLife)
	return sole
}

func TestVersionThatCameAndWentBetweenTwoReadsCounts(t *testing.T) {
	const later = 2 * resume.MinStreamLife
	changes := recordsBefore(offset(7), versionRecord("b", "v2"), port.ListRecord{Name: "b", Removed: true})
	for name, apply := range map[string]func(c *control){
		"read": func(c *control) {
			c.applyListRead(at(later), listUpdate{asOf: at(later), records: changes, next: offset(7)})
		},
		"received": func(c *control) {
			c.receiveListChanges(at(later), changesDigest(offset(5), offset(7), changes...))
		},
		"a full list read": func(c *control) {
			c.applyListRead(at(later), listUpdate{asOf: at(later), full: true, records: []port.ListRecord{versionRecord("a", "v1")}, next: offset(7)})
		},
		"a full list received": func(c *control) {
			c.adoptList(at(later), port.EndpointList{Entries: []directory.Entry{versionRecord("a", "v1").Entry}, Next: offset(7)}, "peer")
		},
	} {
		c := newSoleControl(t)
		must.True(t, isSole(c, at(later)))
		apply(c)
		must.False(t, isSole(c, at(later+time.Second)), must.Sprint(name))
		must.True(t, isSole(c, at(later+resume.MinStreamLife)), must.Sprint(name))
	}
}

// A caller must not be refused for a minute after each gap in the reads.
func TestHistoryGoesOnIfTheLogOfChangesHasNoGap(t *testing.T) {
	c := newSoleControl(t)
	c.reviewPeers(at(0))
	c.reviewPeers(at(time.Hour))
	c.applyListRead(at(time.Hour), listUpdate{asOf: at(time.Hour), records: recordsBefore(offset(7), versionRecord("b", "v1")), next: offset(7)})
	c.reviewPeers(at(time.Hour + reviewInterval))
	must.True(t, isSole(c, at(time.Hour)))
}
