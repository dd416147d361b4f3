package ctrl_test

import (
	"context"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/quorum"
)

// TestStoppingMemberLeaves guards against a group whose majority still counts a member that has stopped for good, although
// the group had enough others.
func TestStoppingMemberLeaves(t *testing.T) {
	leave := func(t *testing.T, c *cluster, id quorum.ID) quorum.Members {
		t.Helper()
		left := quorum.Members{}
		check.Eventually(t, "the leader's response", func() bool {
			leader := c.node(c.leader())
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if leader.LeaveGroup(ctx, id) != nil {
				return false
			}
			left = leader.Status().Members
			return true
		})
		return left
	}
	t.Run("one more than needed", func(t *testing.T) {
		c := newMaintainedCluster(t, 4, 3)
		var follower quorum.ID
		leader := c.leader()
		for _, id := range c.ids() {
			if id != leader {
				follower = id
			}
		}
		check.Equal(t, "is a voter", leave(t, c, follower).HasVoter(follower), false)
	})
	t.Run("the leader itself", func(t *testing.T) {
		c := newMaintainedCluster(t, 4, 3)
		leader := c.leader()
		check.Equal(t, "is a voter", leave(t, c, leader).HasVoter(leader), false)
		c.kill(leader)
		check.Equal(t, "another one leads", c.leader() != leader, true)
	})
	t.Run("as many as needed", func(t *testing.T) {
		c := newMaintainedCluster(t, 3, 3)
		for _, id := range c.ids() {
			check.Equal(t, "is a voter", leave(t, c, id).HasVoter(id), true)
		}
	})
}
