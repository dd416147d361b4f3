package ctrl

import (
	"net/netip"
	"testing"

	"google.golang.org/protobuf/proto"

	"egretshunt/block"
	"egretshunt/member"
	"egretshunt/quorum"
	"egretshunt/tally"
	"egretshunt/wire"
)

// addMessage adds the encoding of a message to the seeds, whole and in part.
func addMessage(f *testing.F, m proto.Message) {
	data, err := proto.Marshal(m)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)/2])
}

// FuzzMessage decodes messages of the replicated log.
func FuzzMessage(f *testing.F) {
	for _, m := range []quorum.Message{
		{Kind: 3, From: "a", To: "b", Term: 7, Addr: netip.MustParseAddrPort("10.0.0.1:80"), Entries: []quorum.Entry{{Index: 1, Term: 2, Data: []byte("x")}}},
		{From: "a", Snapshot: &quorum.Snapshot{}},
	} {
		w, err := encodeMessage(m)
		if err != nil {
			f.Fatal(err)
		}
		addMessage(f, w)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		w := &wire.Raft{}
		if proto.Unmarshal(data, w) != nil {
			return
		}
		m, err := decodeMessage(w)
		if err == nil && m.From != quorum.ID(w.GetFrom()) {
			t.Fatalf("from %q, want %q", m.From, w.GetFrom())
		}
	})
}

// FuzzSynced installs responses to syncs in a feed.
func FuzzSynced(f *testing.F) {
	view, err := pack(&View{Rev: 3})
	if err != nil {
		f.Fatal(err)
	}
	list, err := pack(&member.List{Rev: 2, Endpoints: []member.Endpoint{{ID: "i-1", Pool: "p", Addr: netip.MustParseAddrPort("10.0.0.1:80")}}})
	if err != nil {
		f.Fatal(err)
	}
	c := block.NewCatalog()
	c.Apply([]block.CatalogChange{{Store: netip.MustParseAddrPort("10.0.0.1:80"), Name: "s/5c1e07a2", Tokens: 5}})
	changes, _, _ := c.Since(0)
	addMessage(f, &wire.Synced{Fresh: true, Life: 5, View: view, List: list, Entries: 3, Changes: encodeChanges(changes), Keptrev: 1, All: true})
	addMessage(f, &wire.Synced{Fresh: true, Life: 5, Sums: encodeSums(tally.Update{Edition: 7, Names: []string{"i-1/0", "i-1/m"}, Totals: []byte{4, 5}})})
	addMessage(f, &wire.Synced{Fresh: true, Life: 5, Work: encodeWork([]tally.Amount{{Name: "i-1/0", Value: 3}}), Limits: []*wire.EndpointLimit{{Endpoint: "i-1", Rate: 5, Named: true}}, Permits: []*wire.Permit{{Endpoint: "i-1", Count: 2}}})
	f.Fuzz(func(t *testing.T, data []byte) {
		reply := &wire.Synced{}
		if proto.Unmarshal(data, reply) != nil {
			return
		}
		feed := NewFeed(FeedConfig{Node: "entry-0", Seeds: func() []netip.AddrPort { return nil }})
		defer feed.Close()
		for range 2 {
			feed.updateMembers(reply)
			// A response may be refused.
			_ = feed.install(reply, nil)
		}
	})
}
