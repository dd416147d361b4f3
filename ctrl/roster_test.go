package ctrl_test

import (
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/ctrl"
	"egretshunt/wire"
)

const lease = 4 * time.Second

var start = time.Unix(1_000_000, 0)

// pull is one pull of a relay that reports a child at a revision.
func pull(relay string, incarnation, seq uint64, complete bool, acks ...*wire.Ack) *wire.Pull {
	return &wire.Pull{Node: relay, Life: incarnation, Seq: seq, Whole: complete, Acks: acks}
}

func ack(node string, incarnation, seq, rev uint64) *wire.Ack {
	return &wire.Ack{Node: node, Life: incarnation, Seq: seq, Rev: rev}
}

func registered(names ...string) map[string]ctrl.Joined {
	all := map[string]ctrl.Joined{}
	for _, n := range names {
		all[n] = ctrl.Joined{Node: n}
	}
	return all
}

func TestRoster(t *testing.T) {
	longAgo := start.Add(-time.Hour)
	lagging := func(t *testing.T, r *ctrl.Roster, since, now time.Time, want ...string) {
		t.Helper()
		if want == nil {
			want = []string{}
		}
		got := append([]string{}, r.Lagging(7, registered("child", "relay"), since, now)...)
		check.Equal(t, "lagging", got, want)
	}
	t.Run("behind until installed or its freshness has run out", func(t *testing.T) {
		r := ctrl.NewRoster(lease)
		r.RecordPull(pull("relay", 1, 1, true, ack("child", 5, 1, 6), ack("relay", 1, 1, 7)), start)
		r.RecordGrant("relay", start)
		lagging(t, r, longAgo, start, "child")
		lagging(t, r, longAgo, start.Add(lease+time.Second))
		r.RecordPull(pull("relay", 1, 2, false, ack("child", 5, 2, 7)), start)
		lagging(t, r, longAgo, start)
	})
	t.Run("a new leader waits a lease for those it has not heard", func(t *testing.T) {
		r := ctrl.NewRoster(lease)
		lagging(t, r, start, start.Add(time.Second), "child", "relay")
		lagging(t, r, start, start.Add(lease+time.Second))
	})
	t.Run("reports that overtake each other", func(t *testing.T) {
		r := ctrl.NewRoster(lease)
		r.RecordPull(pull("relay", 1, 2, false, ack("child", 5, 2, 7), ack("relay", 1, 2, 7)), start)
		r.RecordGrant("relay", start)
		r.RecordPull(pull("relay", 1, 1, false, ack("child", 5, 1, 6)), start)
		lagging(t, r, longAgo, start)
	})
	t.Run("an old report on another path of the same life", func(t *testing.T) {
		r := ctrl.NewRoster(lease)
		r.RecordPull(pull("relay", 1, 1, true, ack("child", 5, 1, 6), ack("relay", 1, 1, 7)), start)
		r.RecordGrant("relay", start)
		r.RecordPull(pull("child", 5, 1, true, ack("child", 5, 2, 7)), start)
		r.RecordGrant("child", start)
		lagging(t, r, longAgo, start)
	})
	t.Run("another life of the node counts by itself", func(t *testing.T) {
		r := ctrl.NewRoster(lease)
		r.RecordPull(pull("relay", 1, 1, true, ack("child", 5, 1, 7), ack("relay", 1, 1, 7)), start)
		r.RecordPull(pull("child", 6, 1, true, ack("child", 6, 1, 3)), start)
		r.RecordGrant("relay", start)
		r.RecordGrant("child", start)
		lagging(t, r, longAgo, start, "child")
	})
	t.Run("a whole report drops what the relay has let go", func(t *testing.T) {
		r := ctrl.NewRoster(lease)
		r.RecordPull(pull("relay", 1, 1, true, ack("child", 5, 1, 6), ack("relay", 1, 1, 7)), start)
		r.RecordPull(pull("relay", 1, 2, true, ack("relay", 1, 2, 7)), start)
		r.RecordGrant("relay", start)
		lagging(t, r, longAgo, start)
	})
	t.Run("but not what a later pull has told", func(t *testing.T) {
		r := ctrl.NewRoster(lease)
		r.RecordPull(pull("relay", 1, 3, false, ack("child", 5, 1, 6)), start)
		r.RecordPull(pull("relay", 1, 2, true, ack("relay", 1, 2, 7)), start)
		r.RecordGrant("relay", start)
		lagging(t, r, longAgo, start, "child")
	})
	t.Run("and after a lease what an earlier life of the relay had told", func(t *testing.T) {
		r := ctrl.NewRoster(lease)
		r.RecordPull(pull("relay", 1, 1, true, ack("child", 5, 1, 6)), start)
		r.RecordPull(pull("relay", 2, 1, true, ack("relay", 2, 1, 7)), start)
		r.RecordGrant("relay", start)
		lagging(t, r, longAgo, start, "child")
		r.RecordGrant("relay", start.Add(2*lease))
		lagging(t, r, longAgo, start.Add(2*lease))
	})
	t.Run("a relay tells upstream of a child whose freshness ran out", func(t *testing.T) {
		r := ctrl.NewRoster(lease)
		r.RecordPull(pull("child", 5, 1, true, ack("child", 5, 1, 6)), start)
		r.RecordGrant("child", start)
		first, _ := r.Pending(start, false)
		check.Equal(t, "reports", len(first), 1)
		none, complete := r.Pending(start, false)
		check.Equal(t, "nothing new", len(none) == 0 && !complete, true)
		rest, complete := r.Pending(start.Add(2*lease), false)
		check.Equal(t, "everything again, without it", len(rest) == 0 && complete, true)
	})
	t.Run("what was not taken is told again", func(t *testing.T) {
		r := ctrl.NewRoster(lease)
		r.RecordPull(pull("child", 5, 1, true, ack("child", 5, 1, 6)), start)
		sent, _ := r.Pending(start, false)
		r.RecordPull(pull("child", 5, 2, false, ack("child", 5, 2, 6)), start)
		r.RecordDelivery(sent, false)
		again, _ := r.Pending(start, false)
		check.Equal(t, "reports", len(again), 1)
	})
	t.Run("what a relay's own relay has let go is told upstream", func(t *testing.T) {
		middle := ctrl.NewRoster(lease)
		middle.RecordPull(pull("low", 2, 1, true, ack("child", 5, 1, 6), ack("low", 2, 1, 7)), start)
		middle.RecordGrant("low", start)
		middle.Pending(start, true)
		middle.RecordPull(pull("low", 2, 2, true, ack("low", 2, 2, 7)), start)
		acks, complete := middle.Pending(start, false)
		check.Equal(t, "whole, without the child", complete && len(acks) == 1 && acks[0].GetNode() == "low", true)
	})
	t.Run("an earlier run of a relay that it tells of itself", func(t *testing.T) {
		r := ctrl.NewRoster(lease)
		r.RecordPull(pull("relay", 2, 1, true, ack("relay", 1, 9, 6), ack("relay", 2, 1, 7)), start)
		r.RecordGrant("relay", start)
		r.RecordPull(pull("relay", 2, 2, true, ack("relay", 2, 2, 7)), start)
		lagging(t, r, longAgo, start)
	})
	t.Run("two runs of a node through one relay stay apart", func(t *testing.T) {
		r := ctrl.NewRoster(lease)
		r.RecordPull(pull("relay", 1, 1, true, ack("child", 6, 1, 7), ack("child", 5, 9, 6), ack("relay", 1, 1, 7)), start)
		r.RecordGrant("relay", start)
		lagging(t, r, longAgo, start, "child")
		r.RecordPull(pull("relay", 1, 2, true, ack("child", 6, 2, 7), ack("relay", 1, 2, 7)), start)
		lagging(t, r, longAgo, start)
	})
	t.Run("an earlier run of a direct downstream counts for one more lease", func(t *testing.T) {
		r := ctrl.NewRoster(lease)
		r.RecordPull(pull("child", 5, 1, true, ack("child", 5, 1, 6)), start)
		r.RecordGrant("child", start)
		r.RecordPull(pull("child", 6, 1, true, ack("child", 6, 1, 7)), start)
		lagging(t, r, longAgo, start, "child")
		r.RecordGrant("child", start.Add(2*lease))
		lagging(t, r, longAgo, start.Add(2*lease))
	})
}
