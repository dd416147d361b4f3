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

// TestMisplacedPieces feeds hundreds of relays pieces that are repeated, overlapping, after a
// gap or of another request. A relay must write its own response in order and reject gaps
// and other requests' pieces.
func TestMisplacedPieces(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		want := strings.Repeat("abcdefghij", 30)
		rec := httptest.NewRecorder()
		r := &relay{j: &job{id: "mine"}, out: newResponseSink(rec, true, time.Minute), endpointState: &endpointState{}}
		r.out.setHead(&wire.Head{Status: 200})
		for r.offset < uint64(len(want)) {
			// A piece may start at or before the expected offset; a gap or another
			// request's piece is rejected.
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
			check.NoError(t, err)
		}
		check.Equal(t, "answer", rec.Body.String(), want)
	}
}
