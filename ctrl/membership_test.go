package ctrl_test

import (
	"context"
	"fmt"
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

// TestSpareTellsLosses guards against a group that has lost a member while nothing shows that it bears no further loss.
func TestSpareTellsLosses(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.leader()
	spareIs := func(want int) {
		t.Helper()
		check.Eventually(t, fmt.Sprint("the group bears ", want), func() bool {
			spare, ok := c.node(leader).Spare()
			return ok && spare == want
		})
	}
	spareIs(1)
	for _, id := range c.ids() {
		if id != leader {
			_, ok := c.node(id).Spare()
			check.Equal(t, "a member that doesn't lead knows", ok, false)
		}
	}
	for _, id := range c.ids() {
		if id != leader {
			c.kill(id)
			break
		}
	}
	spareIs(0)
}
