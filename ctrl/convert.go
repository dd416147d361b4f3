package ctrl

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"time"

	"egretshunt/quorum"
	"egretshunt/wire"
)

// maxSnapshot bounds an unpacked snapshot, in bytes.
const maxSnapshot = 1 << 30

// toWire packs a message of the log for the wire.
func toWire(m quorum.Message) (*wire.Raft, error) {
	w := &wire.Raft{
		Kind: m.Kind, From: string(m.From), To: string(m.To), Term: m.Term, Index: m.Index, Logterm: m.LogTerm,
		Commit: m.Commit, Reject: m.Reject, Hint: m.Hint, Round: uint64(m.Sent),
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

func fromWire(w *wire.Raft) (quorum.Message, error) {
	m := quorum.Message{
		Kind: w.GetKind(), From: quorum.ID(w.GetFrom()), To: quorum.ID(w.GetTo()), Term: w.GetTerm(), Index: w.GetIndex(),
		LogTerm: w.GetLogterm(), Commit: w.GetCommit(), Reject: w.GetReject(), Hint: w.GetHint(), Sent: time.Duration(w.GetRound()),
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

// pack writes v as compressed JSON.
func pack(v any) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, Malformed.Wrap(err, "start compression")
	}
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return nil, Malformed.Wrap(err, "write JSON")
	}
	if err := w.Close(); err != nil {
		return nil, Malformed.Wrap(err, "end compression")
	}
	return out.Bytes(), nil
}

// unpack reads what pack wrote.
func unpack(data []byte, into any) error {
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	if err := json.NewDecoder(io.LimitReader(r, maxSnapshot)).Decode(into); err != nil {
		return Malformed.Wrap(err, "read compressed JSON")
	}
	return nil
}
