package ctrl

import (
	"net/netip"
	"testing"

	"egretshunt/check"
	"egretshunt/clock"
	"egretshunt/event"
	"egretshunt/fake"
	"egretshunt/member"
	"egretshunt/origin"
)

// TestUnreplicatedBuildIsPublished: streams could begin at a build of which a later leader wouldn't know.
func TestUnreplicatedBuildIsPublished(t *testing.T) {
	n := startAlone(t, fake.NewDisk())
	t.Cleanup(n.Close)
	hub := NewHub(n)
	lt := &leaderTerm{LeaderState: hub.BeginTerm(), tasks: &LeaderTasks{config: LeaderTasksConfig{Events: event.Discard()}}, node: n}
	published := func() (ids []string) {
		lt.publishEndpoints()
		for _, e := range lt.List().Endpoints {
			ids = append(ids, e.ID)
		}
		return ids
	}
	lt.endpoints = []member.Endpoint{{ID: "a", Pool: "p", Build: "v1"}}
	lt.replicateBuilds(t.Context(), lt.endpoints)
	check.Equal(t, "endpoints of a replicated build", published(), []string{"a"})
	lt.endpoints = append(lt.endpoints, member.Endpoint{ID: "b", Pool: "p", Build: "v2"})
	check.Equal(t, "before a new build is replicated", published(), []string{"a"})
	lt.replicateBuilds(t.Context(), lt.endpoints)
	check.Equal(t, "afterwards", published(), []string{"a", "b"})
	check.Equal(t, "possible builds", n.View().Builds.Possible("p", n.groupNow()), []string{"v1", "v2"})
	revision := n.View().Rev
	lt.replicateBuilds(t.Context(), lt.endpoints)
	check.Equal(t, "entries of the log for an unchanged list", n.View().Rev, revision)
	check.Equal(t, "a build of another pool", n.View().Builds.Has(origin.Build{Pool: "q", Name: "v1"}), false)
}

// TestStreamIsTrackedForever: a stream whose first attempt found no room among those tracked, and whose second one did, was never dropped.
func TestStreamIsTrackedForever(t *testing.T) {
	f := NewFeed(FeedConfig{Node: "e", Seeds: func() []netip.AddrPort { return nil }})
	t.Cleanup(f.Close)
	f.BeginStream(origin.Start{Key: 1, Build: origin.Build{Pool: "p", Name: "v1"}, Attempt: 2})
	f.EndStream(1, false)
	_, known := f.streams.find(1)
	check.Equal(t, "known once it has broken off", known, true)
	f.streams.refresh(clock.Now() + origin.MaxAge)
	_, known = f.streams.find(1)
	check.Equal(t, "known long after", known, false)
}
