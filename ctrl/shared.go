package ctrl

import (
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"

	"egretshunt/block"
	"egretshunt/tally"
	"egretshunt/wire"
)

const (
	// sumsInterval is how old the encoded sums of a response may be. They are never older than the
	// entry's own report, which it subtracts.
	sumsInterval = 25 * time.Millisecond
	// expiryInterval is how often entries that no longer sync are dropped.
	expiryInterval = 100 * time.Millisecond
)

// sharedWork is the work that all entries have outstanding, as a leader adds it up.
type sharedWork struct {
	sums *tally.Sums
	// reports counts the reports. encoded is the state at encodedAt, with the first encodedReports of them.
	reports, encodedReports uint64
	encoded                 *tally.Encoded
	encodedAt, expiredAt    time.Duration
}

func newSharedWork() sharedWork { return sharedWork{sums: tally.New(rand.Uint64() | 1)} }

// record replaces an entry's work and returns the report's number.
func (w *sharedWork) record(req *wire.Sync, now time.Duration) uint64 {
	w.reports++
	w.sums.Report(req.GetNode(), decodeAmounts(req.GetWork()), now)
	return w.reports
}

// state returns the encoded sums, which include the report with a number.
func (w *sharedWork) state(report uint64, now time.Duration) *tally.Encoded {
	if w.expiredAt == 0 || now-w.expiredAt >= expiryInterval {
		w.expiredAt = now
		w.sums.Expire(now, entryTTL)
	}
	if w.encoded == nil || w.encodedReports < report || now-w.encodedAt >= sumsInterval {
		w.encoded, w.encodedAt, w.encodedReports = w.sums.Encode(), now, w.reports
	}
	return w.encoded
}

// encodeSums encodes an update for its reader.
func encodeSums(u tally.Update) *wire.Sums {
	return &wire.Sums{Edition: u.Edition, First: u.First, Names: strings.Join(u.Names, "\n"), Totals: u.Totals}
}

func decodeSums(w *wire.Sums) tally.Update {
	u := tally.Update{Edition: w.GetEdition(), First: w.GetFirst(), Totals: w.GetTotals()}
	if w.GetNames() != "" {
		u.Names = strings.Split(w.GetNames(), "\n")
	}
	return u
}

// encodeChanges encodes changes of a catalogue.
func encodeChanges(c block.Changes) *wire.Changes {
	w := &wire.Changes{Store: uint32(c.FirstStore), Prefix: uint32(c.FirstPrefix), Prefixes: strings.Join(c.Prefixes, "\n"), Records: c.Records}
	for _, at := range c.Stores {
		// The address of a store or engine always has a binary form.
		data, _ := at.MarshalBinary()
		w.Stores = append(w.Stores, data)
	}
	return w
}

func decodeChanges(w *wire.Changes) (block.Changes, error) {
	c := block.Changes{FirstStore: int(w.GetStore()), FirstPrefix: int(w.GetPrefix()), Records: w.GetRecords()}
	if w.GetPrefixes() != "" {
		c.Prefixes = strings.Split(w.GetPrefixes(), "\n")
	}
	for _, data := range w.GetStores() {
		var at netip.AddrPort
		if err := at.UnmarshalBinary(data); err != nil {
			return c, Malformed.Wrap(err, "read the address of a store in changes of the catalogue")
		}
		if !at.IsValid() {
			return c, Malformed.New("the address of a store in changes of the catalogue has %d bytes", len(data))
		}
		c.Stores = append(c.Stores, at)
	}
	return c, nil
}

// decodeAmounts decodes the output of encodeWork; names without an amount, and amounts without a
// name, are ignored.
func decodeAmounts(w *wire.Work) []tally.Amount {
	values := w.GetAmounts()
	amounts := make([]tally.Amount, 0, len(values))
	names := w.GetNames()
	for _, value := range values {
		name, rest, more := strings.Cut(names, "\n")
		amounts = append(amounts, tally.Amount{Name: name, Value: value})
		if names = rest; !more {
			break
		}
	}
	return amounts
}

// encodeWork encodes amounts of outstanding work; it returns nil for none.
func encodeWork(work []tally.Amount) *wire.Work {
	if len(work) == 0 {
		return nil
	}
	var names strings.Builder
	w := &wire.Work{Amounts: make([]uint32, 0, len(work))}
	for _, a := range work {
		if len(w.Amounts) > 0 {
			names.WriteByte('\n')
		}
		names.WriteString(a.Name)
		w.Amounts = append(w.Amounts, a.Value)
	}
	w.Names = names.String()
	return w
}

// packCache holds the packed form of the latest value that was sent, since many readers get the same.
type packCache[V comparable] struct {
	// mu guards the rest.
	mu    sync.Mutex
	value V
	data  []byte
}

// pack returns the packed form of a value that doesn't change.
func (c *packCache[V]) pack(v V) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.data != nil && c.value == v {
		return c.data, nil
	}
	data, err := pack(v)
	if err != nil {
		return nil, err
	}
	c.value, c.data = v, data
	return data, nil
}
