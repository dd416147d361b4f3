package agent

import (
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/ledger"
	"egretshunt/wire"
)

// TestReleasedResponseIsNoEmptyOne guards against a long response whose beginning isn't kept any more and that resends got as
// one without a body.
func TestReleasedResponseIsNoEmptyOne(t *testing.T) {
	for name, c := range map[string]struct {
		size           int
		hasHead, whole bool
	}{
		"empty":    {0, true, true},
		"kept":     {resumeTailBytes, true, true},
		"released": {3 * resumeTailBytes, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			x, table, key := newExchange(offerOf("k"), func() {}), newAttemptTable(), ledger.Key{Account: "a", Key: "k"}
			table.accept(key, 1, x, time.Now())
			x.begin(&Response{Status: 200})
			for sent := 0; sent < c.size; {
				check.NoError(t, x.write(t.Context(), make([]byte, maxPieceBytes), false))
				for _, f := range x.waitFrames(t.Context(), uint64(sent), true) {
					sent += len(f.GetPiece().GetData())
				}
			}
			x.finish(&wire.End{})
			v := table.outcome(key, 1, time.Now())
			check.Equal(t, "state", v.GetState(), verdictDone)
			check.Equal(t, "has a head", v.GetHead() != nil, c.hasHead)
			check.Equal(t, "has the body", len(v.GetBody()) == c.size, c.whole)
		})
	}
}
