package ctrl

import (
	"testing"

	"egretshunt/check"
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
