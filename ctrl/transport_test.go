package ctrl_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/ctrl"
	"egretshunt/quorum"
	"egretshunt/wire"
)

// TestMessageSurvivesConnectionLoss breaks the connection between two members before each
// message. Every message must arrive: a vote lost with its connection costs a whole election.
func TestMessageSurvivesConnectionLoss(t *testing.T) {
	keys, err := wire.NewKeys("a secret of this test, long enough")
	check.NoError(t, err)
	const rounds = 20
	got := make(chan uint64, rounds)
	serve := func(ctx context.Context, s *wire.Stream) {
		for {
			frame, err := s.Recv()
			if err != nil {
				return
			}
			got <- frame.GetRaft().GetTerm()
		}
	}
	s, err := wire.Serve(wire.ServerConfig{Addr: netip.MustParseAddrPort("127.0.0.1:0"), Keys: keys, Handle: serve})
	check.NoError(t, err)
	defer s.Close()
	pool := wire.NewPool(wire.PoolConfig{Keys: keys})
	defer pool.Close()
	peers := ctrl.NewPeers(pool)
	defer peers.Close()
	to := quorum.Member{ID: "b", Addr: s.Addr()}
	for term := range uint64(rounds) {
		pool.CloseConns()
		peers.Send(to, quorum.Message{Kind: quorum.Vote, From: "a", To: "b", Term: term + 1})
		select {
		case at := <-got:
			check.Equal(t, "term", at, term+1)
		case <-time.After(5 * time.Second):
			t.Fatalf("message %d was lost with its connection", term+1)
		}
	}
}

// TestProposalEndsWhenPoolCloses closes the pool while a proposal waits: a process that shuts
// down must not keep waiting for a leader that it can no longer reach.
func TestProposalEndsWhenPoolCloses(t *testing.T) {
	keys, err := wire.NewKeys("a secret of this test, long enough")
	check.NoError(t, err)
	pool := wire.NewPool(wire.PoolConfig{Keys: keys})
	client := ctrl.NewClient(ctrl.ClientConfig{Pool: pool, Control: func() []netip.AddrPort {
		// Nothing listens on this port.
		return []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}
	}})
	ended := make(chan error, 1)
	go func() {
		_, err := client.Propose(context.Background(), ctrl.Command{})
		ended <- err
	}()
	pool.Close()
	select {
	case err := <-ended:
		check.Kind(t, err, ctrl.Unreachable)
	case <-time.After(5 * time.Second):
		t.Fatal("the proposal did not end when the pool closed")
	}
}
