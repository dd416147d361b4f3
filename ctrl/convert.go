package ctrl

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"net/netip"
	"sync"
	"time"

	"egretshunt/quorum"
	"egretshunt/wire"
)

// maxSnapshotBytes bounds the decompressed size of a snapshot.
const maxSnapshotBytes = 1 << 30

// encodeMessage converts a message of the replicated log to its wire form.
func encodeMessage(m quorum.Message) (*wire.Raft, error) {
	w := &wire.Raft{
		Kind: m.Kind, From: string(m.From), To: string(m.To), Term: m.Term, Index: m.Index, Logterm: m.LogTerm,
		Commit: m.Commit, Reject: m.Reject, Hint: m.Hint, Round: uint64(m.SentAt),
		Addr: addrText(m.Addr), TimeUs: encodeTime(m.Time), SinceUs: encodeTime(m.Since),
	}
	for _, e := range m.Entries {
		w.Entries = append(w.Entries, &wire.Entry{Index: e.Index, Term: e.Term, Kind: e.Kind, Data: e.Data})
	}
	if m.Snapshot == nil {
		return w, nil
	}
	packed, err := pack(m.Snapshot)
	if err != nil {
		return nil, err
	}
	w.Snapshot = packed
	return w, nil
}

func decodeMessage(w *wire.Raft) (quorum.Message, error) {
	m := quorum.Message{
		Kind: w.GetKind(), From: quorum.ID(w.GetFrom()), To: quorum.ID(w.GetTo()), Term: w.GetTerm(), Index: w.GetIndex(),
		LogTerm: w.GetLogterm(), Commit: w.GetCommit(), Reject: w.GetReject(), Hint: w.GetHint(), SentAt: time.Duration(w.GetRound()),
		Time: decodeTime(w.GetTimeUs()), Since: decodeTime(w.GetSinceUs()),
	}
	if w.GetAddr() != "" {
		at, err := netip.ParseAddrPort(w.GetAddr())
		if err != nil {
			return m, Malformed.Wrap(err, "read the leader's address")
		}
		m.Addr = at
	}
	for _, e := range w.GetEntries() {
		m.Entries = append(m.Entries, quorum.Entry{Index: e.GetIndex(), Term: e.GetTerm(), Kind: e.GetKind(), Data: e.GetData()})
	}
	if len(w.GetSnapshot()) == 0 {
		return m, nil
	}
	m.Snapshot = &quorum.Snapshot{}
	if err := unpack(w.GetSnapshot(), m.Snapshot); err != nil {
		return m, err
	}
	return m, nil
}

// encodeTime returns a time in microseconds; zero for the zero time.
func encodeTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMicro()
}

// decodeTime is the inverse of encodeTime.
func decodeTime(us int64) time.Time {
	if us == 0 {
		return time.Time{}
	}
	return time.UnixMicro(us)
}

// pack encodes v as compressed JSON.
func pack(v any) ([]byte, error) {
	var out bytes.Buffer
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&out)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return nil, Malformed.Wrap(err, "write JSON")
	}
	if err := w.Close(); err != nil {
		return nil, Malformed.Wrap(err, "end compression")
	}
	return out.Bytes(), nil
}

// flateWriters and flateReaders are reused: creating one costs more than encoding most messages.
var (
	flateWriters = sync.Pool{New: func() any {
		// NewWriter only fails for an invalid level.
		w, _ := flate.NewWriter(nil, flate.BestSpeed)
		return w
	}}
	flateReaders = sync.Pool{New: func() any { return flate.NewReader(nil) }}
)

// unpack decodes the output of pack.
func unpack(data []byte, into any) error {
	r := flateReaders.Get().(io.ReadCloser)
	defer flateReaders.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(data), nil); err != nil {
		return Malformed.Wrap(err, "start decompression")
	}
	if err := json.NewDecoder(io.LimitReader(r, maxSnapshotBytes)).Decode(into); err != nil {
		return Malformed.Wrap(err, "read compressed JSON")
	}
	return nil
}
