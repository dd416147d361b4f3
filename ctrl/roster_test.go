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

// pull returns a pull of a relay that carries the acks.
func pull(relay string, incarnation, seq uint64, complete bool, acks ...*wire.Ack) *wire.Pull {
	return &wire.Pull{Node: relay, Life: incarnation, Seq: seq, Whole: complete, Acks: acks}
}

func ack(node string, incarnation, seq, rev uint64) *wire.Ack {
	return &wire.Ack{Node: node, Life: incarnation, Seq: seq, Rev: rev}
}

func registered(names ...string) map[string]ctrl.NodeRegistration {
	all := map[string]ctrl.NodeRegistration{}
	for _, n := range names {
		all[n] = ctrl.NodeRegistration{Node: n}
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
	t.Run("lagging until the revision is installed or the freshness has expired", func(t *testing.T) {
		r := ctrl.NewRoster(lease)
		r.RecordPull(pull("relay", 1, 1, true, ack("child", 5, 1, 6), ack("relay", 1, 1, 7)), start)
		r.RecordGrant("relay", start)
		lagging(t, r, longAgo, start, "child")
		lagging(t, r, longAgo, start.Add(lease+time.Second))
		r.RecordPull(pull("relay", 1, 2, false, ack("child", 5, 2, 7)), start)
		lagging(t, r, longAgo, start)
	})
	t.Run("a new leader waits one lease for nodes that have not reported", func(t *testing.T) {
		r := ctrl.NewRoster(lease)
		lagging(t, r, start, start.Add(time.Second), "child", "relay")
		lagging(t, r, start, start.Add(lease+time.Second))
	})
	t.Run("reports that arrive out of order", func(t *testing.T) {
		r := ctrl.NewRoster(lease)
		r.RecordPull(pull("relay", 1, 2, false, ack("child", 5, 2, 7), ack("relay", 1, 2, 7)), start)
		r.RecordGrant("relay", start)
		r.RecordPull(pull("relay", 1, 1, false, ack("child", 5, 1, 6)), start)
		lagging(t, r, longAgo, start)
	})
	t.Run("an old report of the same incarnation on another path", func(t *testing.T) {
		r := ctrl.NewRoster(lease)
		r.RecordPull(pull("relay", 1, 1, true, ack("child", 5, 1, 6), ack("relay", 1, 1, 7)), start)
		r.RecordGrant("relay", start)
		r.RecordPull(pull("child", 5, 1, true, ack("child", 5, 2, 7)), start)
		r.RecordGrant("child", start)
		lagging(t, r, longAgo, start)
	})
	t.Run("each incarnation of a node counts separately", func(t *testing.T) {
		r := ctrl.NewRoster(lease)
		r.RecordPull(pull("relay", 1, 1, true, ack("child", 5, 1, 7), ack("relay", 1, 1, 7)), start)
		r.RecordPull(pull("child", 6, 1, true, ack("child", 6, 1, 3)), start)
		r.RecordGrant("relay", start)
		r.RecordGrant("child", start)
		lagging(t, r, longAgo, start, "child")
	})
	t.Run("a complete report removes nodes that the relay no longer lists", func(t *testing.T) {
		r := ctrl.NewRoster(lease)
		r.RecordPull(pull("relay", 1, 1, true, ack("child", 5, 1, 6), ack("relay", 1, 1, 7)), start)
		r.RecordPull(pull("relay", 1, 2, true, ack("relay", 1, 2, 7)), start)
		r.RecordGrant("relay", start)
		lagging(t, r, longAgo, start)
	})
	t.Run("a complete report keeps nodes that a later pull reported", func(t *testing.T) {
		r := ctrl.NewRoster(lease)
		r.RecordPull(pull("relay", 1, 3, false, ack("child", 5, 1, 6)), start)
		r.RecordPull(pull("relay", 1, 2, true, ack("relay", 1, 2, 7)), start)
		r.RecordGrant("relay", start)
		lagging(t, r, longAgo, start, "child")
	})
	t.Run("reports of an earlier incarnation of the relay expire after a lease", func(t *testing.T) {
		r := ctrl.NewRoster(lease)
		r.RecordPull(pull("relay", 1, 1, true, ack("child", 5, 1, 6)), start)
		r.RecordPull(pull("relay", 2, 1, true, ack("relay", 2, 1, 7)), start)
		r.RecordGrant("relay", start)
		lagging(t, r, longAgo, start, "child")
		r.RecordGrant("relay", start.Add(2*lease))
		lagging(t, r, longAgo, start.Add(2*lease))
	})
	t.Run("a relay reports upstream that a child's freshness has expired", func(t *testing.T) {
		r := ctrl.NewRoster(lease)
		r.RecordPull(pull("child", 5, 1, true, ack("child", 5, 1, 6)), start)
		r.RecordGrant("child", start)
		first, _ := r.Pending(start, false)
		check.Equal(t, "reports", len(first), 1)
		none, complete := r.Pending(start, false)
		check.Equal(t, "no new reports", len(none) == 0 && !complete, true)
		rest, complete := r.Pending(start.Add(2*lease), false)
		check.Equal(t, "a complete report without the child", len(rest) == 0 && complete, true)
	})
	t.Run("reports that were not delivered are sent again", func(t *testing.T) {
		r := ctrl.NewRoster(lease)
		r.RecordPull(pull("child", 5, 1, true, ack("child", 5, 1, 6)), start)
		sent, _ := r.Pending(start, false)
		r.RecordPull(pull("child", 5, 2, false, ack("child", 5, 2, 6)), start)
		r.RecordDelivery(sent, false)
		again, _ := r.Pending(start, false)
		check.Equal(t, "reports", len(again), 1)
	})
	t.Run("a removal by a relay's relay is reported upstream", func(t *testing.T) {
		middle := ctrl.NewRoster(lease)
		middle.RecordPull(pull("low", 2, 1, true, ack("child", 5, 1, 6), ack("low", 2, 1, 7)), start)
		middle.RecordGrant("low", start)
		middle.Pending(start, true)
		middle.RecordPull(pull("low", 2, 2, true, ack("low", 2, 2, 7)), start)
		acks, complete := middle.Pending(start, false)
		check.Equal(t, "complete, without the child", complete && len(acks) == 1 && acks[0].GetNode() == "low", true)
	})
	t.Run("an earlier incarnation of a relay that the relay itself reports", func(t *testing.T) {
		r := ctrl.NewRoster(lease)
		r.RecordPull(pull("relay", 2, 1, true, ack("relay", 1, 9, 6), ack("relay", 2, 1, 7)), start)
		r.RecordGrant("relay", start)
		r.RecordPull(pull("relay", 2, 2, true, ack("relay", 2, 2, 7)), start)
		lagging(t, r, longAgo, start)
	})
	t.Run("two incarnations of a node behind one relay are separate", func(t *testing.T) {
		r := ctrl.NewRoster(lease)
		r.RecordPull(pull("relay", 1, 1, true, ack("child", 6, 1, 7), ack("child", 5, 9, 6), ack("relay", 1, 1, 7)), start)
		r.RecordGrant("relay", start)
		lagging(t, r, longAgo, start, "child")
		r.RecordPull(pull("relay", 1, 2, true, ack("child", 6, 2, 7), ack("relay", 1, 2, 7)), start)
		lagging(t, r, longAgo, start)
	})
	t.Run("an earlier incarnation of a direct downstream node counts for one more lease", func(t *testing.T) {
		r := ctrl.NewRoster(lease)
		r.RecordPull(pull("child", 5, 1, true, ack("child", 5, 1, 6)), start)
		r.RecordGrant("child", start)
		r.RecordPull(pull("child", 6, 1, true, ack("child", 6, 1, 7)), start)
		lagging(t, r, longAgo, start, "child")
		r.RecordGrant("child", start.Add(2*lease))
		lagging(t, r, longAgo, start.Add(2*lease))
	})
}
