package wire_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"egretshunt/wire"
)

const (
	oldSecret = "old-secret-of-the-test"
	newSecret = "new-secret-of-the-test"
)

func newKeys(t *testing.T, secrets ...string) *wire.Keys {
	t.Helper()
	k, err := wire.NewKeys(secrets...)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// echo sends back each frame of a stream.
func echo(_ context.Context, s *wire.Stream) {
	for {
		f, err := s.Recv()
		if err != nil || s.Send(f) != nil {
			return
		}
	}
}

func startEchoServer(t *testing.T, k *wire.Keys) netip.AddrPort {
	t.Helper()
	s, err := wire.Serve(wire.ServerConfig{
		Addr:   netip.MustParseAddrPort("127.0.0.1:0"),
		Keys:   k,
		Handle: echo,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s.Addr()
}

func exchange(t *testing.T, k *wire.Keys, to netip.AddrPort) error {
	t.Helper()
	p := wire.NewPool(wire.PoolConfig{Keys: k})
	defer p.Close()
	return exchangeOn(t, p, to)
}

func exchangeOn(t *testing.T, p *wire.Pool, to netip.AddrPort) error {
	t.Helper()
	s, err := p.Open(context.Background(), to)
	if err != nil {
		return err
	}
	defer s.Close()
	s.SetDeadline(time.Now().Add(5 * time.Second))
	if err := s.Send(&wire.Frame{Body: &wire.Frame_Read{Read: &wire.Read{Account: "a"}}}); err != nil {
		return err
	}
	f, err := s.Recv()
	if err != nil {
		return err
	}
	if got := f.GetRead().GetAccount(); got != "a" {
		t.Fatalf("echoed account %q, want \"a\"", got)
	}
	return nil
}

func TestKeys(t *testing.T) {
	serverKeys := newKeys(t, oldSecret)
	to := startEchoServer(t, serverKeys)
	t.Run("same secret", func(t *testing.T) {
		if err := exchange(t, newKeys(t, oldSecret), to); err != nil {
			t.Fatal(err)
		}
	})
	t.Run("peer with another secret is rejected", func(t *testing.T) {
		if err := exchange(t, newKeys(t, newSecret), to); !errorx.IsOfType(err, wire.ConnectionLost) {
			t.Fatalf("exchange with a peer that has another secret: error %v, want type ConnectionLost", err)
		}
	})
	t.Run("short secret", func(t *testing.T) {
		if _, err := wire.NewKeys("short"); !errorx.IsOfType(err, wire.BadKey) {
			t.Fatalf("error of a short secret: %v, want type BadKey", err)
		}
	})
	t.Run("rotation without restart", func(t *testing.T) {
		if err := serverKeys.Rotate(oldSecret, newSecret); err != nil {
			t.Fatal(err)
		}
		if err := exchange(t, newKeys(t, newSecret, oldSecret), to); err != nil {
			t.Fatal(err)
		}
	})
}
