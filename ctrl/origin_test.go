package ctrl_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/ctrl"
	"egretshunt/ledger"
	"egretshunt/origin"
	"egretshunt/wire"
)

var buildV1, buildV2 = origin.Build{Pool: "p", Name: "v1"}, origin.Build{Pool: "p", Name: "v2"}

// originCluster is a control group whose members serve entries, one address each.
type originCluster struct {
	*cluster
	keys    *wire.Keys
	control []netip.AddrPort
}

func newOriginCluster(t *testing.T) *originCluster {
	c := &originCluster{cluster: newCluster(t, 3)}
	c.serve()
	return c
}

// serve serves the hubs of the members that run.
func (c *originCluster) serve() {
	c.control, c.keys = serveHubs(c.t, c.cluster, 0)
}

// list replicates the builds that the platform's list shows, as the leader does.
func (c *originCluster) list(builds ...origin.Build) {
	c.t.Helper()
	check.Eventually(c.t, "the builds are replicated", func() bool {
		_, err := c.node(c.leader()).Propose(c.t.Context(), ctrl.Command{Builds: &ctrl.Builds{Listed: builds}})
		return err == nil
	})
}

// entry starts an entry's feed, which has no memory of former streams.
func (c *originCluster) entry(name string) *ctrl.Feed {
	c.t.Helper()
	f := newFeed(c.t, c.keys, name, c.control...)
	check.Eventually(c.t, "a view", func() bool { return f.Fresh() && f.View().Builds != nil })
	return f
}

// wantOrigin checks at which build a stream began, as an entry learns it; nobody knows of the zero build.
func wantOrigin(t *testing.T, f *ctrl.Feed, key origin.Key, want origin.Build) {
	t.Helper()
	check.Eventually(t, fmt.Sprintf("stream %d began at %v", key, want), func() bool {
		b, known, err := f.Origin(t.Context(), key, "p")
		return err == nil && known == (want != origin.Build{}) && (b == want || !known)
	})
}

// TestOriginOfStreams: control knows at which build a stream began, whatever becomes of the entries and of itself.
func TestOriginOfStreams(t *testing.T) {
	const key, unreported = 7, 8
	t.Run("the only build", func(t *testing.T) {
		c := newOriginCluster(t)
		c.list(buildV1)
		wantOrigin(t, c.entry("e"), unreported, buildV1)
	})
	t.Run("one of two, all entries lost", func(t *testing.T) {
		c := newOriginCluster(t)
		c.list(buildV1, buildV2)
		e := c.entry("e0")
		e.BeginStream(origin.Start{Key: key, Build: buildV2, Attempt: 1})
		other := c.entry("e1")
		wantOrigin(t, other, key, buildV2)
		e.Close()
		other.Close()
		next := c.entry("e2")
		wantOrigin(t, next, key, buildV2)
		wantOrigin(t, next, unreported, origin.Build{})
	})
	t.Run("begun before there were two", func(t *testing.T) {
		c := newOriginCluster(t)
		c.list(buildV1)
		e := c.entry("e0")
		e.BeginStream(origin.Start{Key: key, Build: buildV1, Attempt: 1})
		c.list(buildV1, buildV2)
		other := c.entry("e1")
		wantOrigin(t, other, key, buildV1)
		e.Close()
		c.list(buildV2)
		wantOrigin(t, other, key, buildV1)
		wantOrigin(t, other, unreported, origin.Build{})
	})
	t.Run("broken off at this entry", func(t *testing.T) {
		c := newOriginCluster(t)
		c.list(buildV1, buildV2)
		e := c.entry("e0")
		e.BeginStream(origin.Start{Key: key, Build: buildV1, Attempt: 1})
		e.EndStream(key, false)
		wantOrigin(t, e, key, buildV1)
	})
	t.Run("a later attempt elsewhere", func(t *testing.T) {
		c := newOriginCluster(t)
		c.list(buildV1, buildV2)
		e := c.entry("e0")
		e.BeginStream(origin.Start{Key: key, Build: buildV1, Attempt: 1})
		e.BeginStream(origin.Start{Key: key, Build: buildV2, Attempt: 2})
		check.NoError(t, e.AwaitStart(t.Context(), key))
		e.Close()
		wantOrigin(t, c.entry("e1"), key, buildV2)
	})
	t.Run("the leader is lost", func(t *testing.T) {
		c := newOriginCluster(t)
		c.list(buildV1, buildV2)
		e := c.entry("e0")
		e.BeginStream(origin.Start{Key: key, Build: buildV2, Attempt: 1})
		other := c.entry("e1")
		wantOrigin(t, other, key, buildV2)
		e.Close()
		c.kill(c.leader())
		wantOrigin(t, other, key, buildV2)
		wantOrigin(t, other, unreported, origin.Build{})
	})
	t.Run("everything loses power", func(t *testing.T) {
		c := newOriginCluster(t)
		c.list(buildV1, buildV2)
		e := c.entry("e0")
		e.BeginStream(origin.Start{Key: key, Build: buildV2, Attempt: 1})
		wantOrigin(t, c.entry("e1"), key, buildV2)
		e.Close()
		ids := c.ids()
		for _, id := range ids {
			c.kill(id)
		}
		for _, id := range ids {
			c.start(id)
		}
		c.serve()
		next := c.entry("e2")
		wantOrigin(t, next, key, buildV2)
		wantOrigin(t, next, unreported, origin.Build{})
	})
}

// TestOriginNeedsTheLeader: a member that doesn't lead may lack starts, and says nothing.
func TestOriginNeedsTheLeader(t *testing.T) {
	c := newOriginCluster(t)
	c.list(buildV1)
	e := c.entry("e")
	wantOrigin(t, e, 1, buildV1)
	for _, id := range c.ids() {
		c.setIsolated(id, true)
	}
	// Members that are isolated reach each other; one of them alone does not.
	c.setIsolated(c.leader(), false)
	check.Eventually(t, "no answer", func() bool {
		_, _, err := e.Origin(t.Context(), 1, "p")
		return err != nil
	})
}

// TestOriginsAreSaved restores the builds and the starts of streams from a snapshot.
func TestOriginsAreSaved(t *testing.T) {
	c := newCluster(t, 1)
	n := c.node(c.leader())
	for _, command := range []ctrl.Command{
		{Builds: &ctrl.Builds{Listed: []origin.Build{buildV1, buildV2}}},
		{Starts: origin.Encode([]origin.Start{{Key: 7, Build: buildV2}})},
	} {
		_, err := n.Propose(t.Context(), command)
		check.NoError(t, err)
	}
	data, err := n.Snapshot(t.Context())
	check.NoError(t, err)
	m := ctrl.NewMachine(ledger.Config{})
	check.NoError(t, m.Restore(data))
	again, err := m.Save()
	check.NoError(t, err)
	check.Equal(t, "the same state", string(again), string(data))
	check.Equal(t, "builds", len(n.View().Builds.Possible("p", time.Time{})), 2)
}
