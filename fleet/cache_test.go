package fleet_test

import (
	"context"
	"fmt"
	"testing"

	"egretshunt/check"
	"egretshunt/entry"
	"egretshunt/fleet"
	"egretshunt/wire"
)

// serveFaultyStore replaces store-0 by a server that reports every requested block as cached
// and responds to reads with the result of read, or not at all if that is nil.
func serveFaultyStore(t *testing.T, f *fleet.Fleet, read func(r *wire.Read) *wire.Frame) {
	t.Helper()
	f.Kill("store-0")
	keys, err := wire.NewKeys(f.Settings("store-0").Wire.Secrets...)
	check.NoError(t, err)
	s, err := wire.Serve(wire.ServerConfig{Addr: f.Settings("store-0").Wire.Listen, Keys: keys, Handle: func(ctx context.Context, s *wire.Stream) {
		for {
			frame, err := s.Recv()
			if err != nil {
				return
			}
			var reply *wire.Frame
			switch body := frame.GetBody().(type) {
			case *wire.Frame_Find:
				n := len(body.Find.GetNames())
				reply = &wire.Frame{Body: &wire.Frame_Found{Found: &wire.Found{Count: uint32(n), Bytes: uint64(4096 * n)}}}
			case *wire.Frame_Read:
				reply = read(body.Read)
			}
			if reply == nil {
				<-ctx.Done()
				return
			}
			if s.Send(reply) != nil {
				return
			}
		}
	}})
	check.NoError(t, err)
	t.Cleanup(s.Close)
}

// TestFaultyStores checks that prompts get correct responses, and engines no wrong blocks, when a
// store reports cached blocks and then stalls, lacks them or sends wrong data.
func TestFaultyStores(t *testing.T) {
	for _, tc := range []struct {
		desc string
		read func(r *wire.Read) *wire.Frame
	}{
		{"no response during a fetch", func(*wire.Read) *wire.Frame { return nil }},
		{"wrong bytes", func(r *wire.Read) *wire.Frame {
			return &wire.Frame{Body: &wire.Frame_Block{Block: &wire.Block{Name: r.GetName(), Data: make([]byte, 4096), Sum: 1}}}
		}},
		{"different block", func(r *wire.Read) *wire.Frame {
			other := append([]byte{}, r.GetName()...)
			other[0]++
			return &wire.Frame{Body: &wire.Frame_Block{Block: &wire.Block{Name: other, Data: []byte("x"), Sum: 2363233923}}}
		}},
		{"block evicted", func(r *wire.Read) *wire.Frame {
			return &wire.Frame{Body: &wire.Frame_Block{Block: &wire.Block{Name: r.GetName(), Gone: true}}}
		}},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, func(s *fleet.Shape) { s.PrefillRate = 20_000 })
			serveFaultyStore(t, f, tc.read)
			c := fleet.Client()
			for i := range 4 {
				text := promptHistory(i, 2)
				a, err := sendPrompt(t.Context(), f, c, i, 0, text, 3, true)
				check.NoError(t, err)
				check.Equal(t, "text", a.text, wantText(text, 3))
			}
			for name, e := range f.Engines {
				check.Equal(t, name+" imports of wrong bytes", e.Totals().CorruptImports, 0)
			}
		})
	}
}

// TestWeightsChangeWithoutCommand changes an engine's weight version without a command. Prompts
// whose blocks were named by the former version must be named again rather than rejected, and must
// not reuse blocks of another version.
func TestWeightsChangeWithoutCommand(t *testing.T) {
	t.Parallel()
	f := startFleet(t, func(s *fleet.Shape) { s.Workers = 1 })
	c := fleet.Client()
	for i := range 20 {
		f.Engines["worker-0"].SetVersion(fmt.Sprint("v", i))
		text := promptHistory(i%3, 1)
		a, err := sendPrompt(t.Context(), f, c, 0, 0, text, 2, false)
		check.NoError(t, err)
		if a.ran == entry.No {
			// In between, the leader's command loads the table's version again.
			continue
		}
		check.Equal(t, fmt.Sprintf("text (%d %s)", a.status, a.code), a.text, wantText(text, 2))
	}
	check.Equal(t, "reused blocks of another weight version", f.Engines["worker-0"].Totals().CrossVersionBlocks, 0)
}
