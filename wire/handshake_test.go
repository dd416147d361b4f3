package wire_test

import (
	"net"
	"net/netip"
	"testing"

	"egretshunt/check"
	"egretshunt/wire"
)

// TestStrangersGiveWay guards against peers that connect and never authenticate: they must neither be kept beyond a bound nor keep others out.
func TestStrangersGiveWay(t *testing.T) {
	k := newKeys(t, oldSecret)
	const most = 4
	s, err := wire.Serve(wire.ServerConfig{Addr: netip.MustParseAddrPort("127.0.0.1:0"), Keys: k, MaxHandshakes: most, Handle: echo})
	check.NoError(t, err)
	t.Cleanup(s.Close)
	// The connection of a peer that has authenticated stays.
	p := wire.NewPool(wire.PoolConfig{Keys: k})
	defer p.Close()
	check.NoError(t, exchangeOn(t, p, s.Addr()))
	ended := make(chan struct{}, 3*most)
	for range 3 * most {
		c, err := net.Dial("tcp", s.Addr().String())
		check.NoError(t, err)
		defer c.Close()
		go func() {
			_, _ = c.Read(make([]byte, 1))
			ended <- struct{}{}
		}()
	}
	for range 2 * most {
		<-ended
	}
	check.NoError(t, exchangeOn(t, p, s.Addr()))
	check.NoError(t, exchange(t, k, s.Addr()))
}
