package member_test

import (
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/member"
)

func TestPeerState(t *testing.T) {
	now := time.Unix(1000, 0)
	t.Run("alive after one failure", func(t *testing.T) {
		var p member.Peer
		p.RecordSuccess(now, 0)
		p.RecordFailure(now)
		check.Equal(t, "state", p.State(now), member.Alive)
	})
	t.Run("unreachable from this VM, heard by others", func(t *testing.T) {
		var p member.Peer
		for range member.UnreachableFailures {
			p.RecordFailure(now)
		}
		p.RecordHeartbeat(now)
		check.Equal(t, "state", p.State(now), member.Unreachable)
		check.Equal(t, "usable", p.Usable(now), false)
		check.Equal(t, "usable for a probe", p.Usable(now.Add(member.InitialBackoff)), true)
		check.Equal(t, "state after silence", p.State(now.Add(2*member.HeartbeatTimeout)), member.Dead)
	})
	t.Run("a slow peer stays usable", func(t *testing.T) {
		var p member.Peer
		for range member.SlowResponses {
			p.RecordSuccess(now, time.Second)
		}
		check.Equal(t, "state", p.State(now), member.Slow)
		check.Equal(t, "usable", p.Usable(now), true)
	})
	t.Run("no flapping", func(t *testing.T) {
		var p member.Peer
		for range member.UnreachableFailures {
			p.RecordFailure(now)
		}
		changes, last := 0, p.State(now)
		// A peer that fails every second call stays unreachable.
		for i := range 100 {
			at := now.Add(time.Duration(i) * 100 * time.Millisecond)
			if i%2 == 0 {
				p.RecordSuccess(at, 0)
			} else {
				p.RecordFailure(at)
			}
			if s := p.State(at); s != last {
				changes, last = changes+1, s
			}
		}
		check.Equal(t, "state changes", changes, 0)
	})
	t.Run("draining lasts until the next incarnation", func(t *testing.T) {
		var p member.Peer
		p.MarkDraining()
		p.RecordSuccess(now, 0)
		check.Equal(t, "state", p.State(now), member.Draining)
		p.Reset()
		check.Equal(t, "state of the next incarnation", p.State(now), member.Alive)
	})
}
