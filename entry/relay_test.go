package entry

import (
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"egretshunt/check"
	"egretshunt/wire"
)

// TestMisplacedPieces gives hundreds of relays their pieces late, doubled, overlapping and
// crossed with each other's. What is taken is the own answer in order, or nothing.
func TestMisplacedPieces(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		want := strings.Repeat("abcdefghij", 30)
		rec := httptest.NewRecorder()
		r := &relay{j: &job{id: "mine"}, out: newResponseSink(rec, true, time.Minute), endpoint: &endpointState{}}
		r.out.setHead(&wire.Head{Status: 200})
		for r.offset < uint64(len(want)) {
			// Anything up to what is due may come again; a gap or another's piece is refused.
			from := uint64(random.IntN(int(r.offset) + 20))
			from = min(from, uint64(len(want)-1))
			to := min(uint64(len(want)), from+uint64(1+random.IntN(40)))
			p := &wire.Piece{Id: "mine", Offset: from, Data: []byte(want[from:to])}
			due := r.offset
			if random.IntN(4) == 0 {
				p.Id = "another"
			}
			err := r.handlePiece(p)
			if p.Id != "mine" || from > due {
				check.Equal(t, "refused", errorx.IsOfType(err, misplacedFrame) && r.offset == due, true)
				continue
			}
			check.Good(t, err)
		}
		check.Equal(t, "answer", rec.Body.String(), want)
	}
}
