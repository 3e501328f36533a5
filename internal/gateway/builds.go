package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// buildStatementTime is the time within which a host that states its build has done so.
const buildStatementTime = 3 * statementInterval

// peerBuild is what is known of the build of a peer.
type peerBuild struct {
	// build is zero as long as the peer has stated none. since is when its first digest of
	// this incarnation was received.
	build model.Build
	since time.Time
}

// learn applies the build in a digest of the peer; most have none.
func (b *peerBuild) learn(stated model.Build) {
	if stated != (model.Build{}) {
		b.build = stated
	}
}

// isKnown reports whether the peer has stated its build, or has had the time to do so.
func (b *peerBuild) isKnown(now time.Time) bool {
	return b.build != (model.Build{}) || now.Sub(b.since) >= buildStatementTime
}

// reviewBuilds logs when the builds of the hosts that this host hears from differ, and when
// they agree again.
func (c *control) reviewBuilds(now time.Time) {
	own := c.gateway.opts.Build
	counts := map[model.Build]int{own: 1}
	for _, p := range c.peers.peers {
		if c.peers.hearsFrom(now, p) && p.build.isKnown(now) {
			counts[p.build.build]++
		}
	}
	c.gateway.opts.Metrics.SetBuilds(len(counts), counts[own])
	builds := make([]string, 0, len(counts))
	for b := range counts {
		builds = append(builds, b.String())
	}
	slices.Sort(builds)
	if slices.Equal(builds, c.builds) {
		return
	}
	differed := len(c.builds) > 1
	c.builds = builds
	entry := c.gateway.opts.Log.WithFields(fields{"own": own.String(), "builds": strings.Join(builds, ", ")})
	switch {
	case len(builds) > 1:
		entry.Warn("peers: hosts run different builds")
	case differed:
		entry.Info("peers: all hosts run the same build")
	}
}
