package ctrl

import (
	"encoding/binary"
	"encoding/json"

	"egretshunt/disk"
	"egretshunt/quorum"
)

// Kinds of record in the log file; the first byte of each record.
const (
	hardRecord  = 'h'
	entryRecord = 'e'
)

// entryHeaderBytes is the size of an entry record's header: the kind of record, then the
// entry's index, term and kind in little-endian order.
const entryHeaderBytes = 1 + 8 + 8 + 4

func encodeHard(h quorum.HardState) []byte {
	// Every value of HardState can be encoded as JSON.
	data, _ := json.Marshal(h)
	return append([]byte{hardRecord}, data...)
}

func encodeEntry(e quorum.Entry) []byte {
	out := make([]byte, entryHeaderBytes, entryHeaderBytes+len(e.Data))
	out[0] = entryRecord
	binary.LittleEndian.PutUint64(out[1:], e.Index)
	binary.LittleEndian.PutUint64(out[9:], e.Term)
	binary.LittleEndian.PutUint32(out[17:], e.Kind)
	return append(out, e.Data...)
}

// recoveredState is the state that a member recovers from disk.
type recoveredState struct {
	hardState quorum.HardState
	snapshot  quorum.Snapshot
	entries   []quorum.Entry
}

// recoverState decodes the member's state; an entry replaces the earlier one of its index and
// all that follow that.
func recoverState(loaded disk.Loaded) (recoveredState, error) {
	d := recoveredState{}
	if loaded.Snapshot != nil {
		if err := json.Unmarshal(loaded.Snapshot, &d.snapshot); err != nil {
			return d, Malformed.Wrap(err, "read snapshot file")
		}
	}
	for i, r := range loaded.Records {
		if err := d.addRecord(r); err != nil {
			return d, Malformed.Wrap(err, "read record %d of the log", i)
		}
	}
	return d, nil
}

func (d *recoveredState) addRecord(record []byte) error {
	if len(record) == 0 {
		return Malformed.New("empty record")
	}
	switch record[0] {
	case hardRecord:
		if err := json.Unmarshal(record[1:], &d.hardState); err != nil {
			return Malformed.Wrap(err, "read term and vote")
		}
		return nil
	case entryRecord:
		return d.addEntry(record)
	}
	return Malformed.New("unknown kind of record %q", record[0])
}

func (d *recoveredState) addEntry(record []byte) error {
	if len(record) < entryHeaderBytes {
		return Malformed.New("entry of %d bytes", len(record))
	}
	e := quorum.Entry{
		Index: binary.LittleEndian.Uint64(record[1:]),
		Term:  binary.LittleEndian.Uint64(record[9:]),
		Kind:  binary.LittleEndian.Uint32(record[17:]),
		Data:  record[entryHeaderBytes:],
	}
	if e.Index <= d.snapshot.Index {
		return nil
	}
	keep := e.Index - d.snapshot.Index - 1
	if keep > uint64(len(d.entries)) {
		return Malformed.New("entry %d follows entry %d", e.Index, d.snapshot.Index+uint64(len(d.entries)))
	}
	d.entries = append(d.entries[:keep], e)
	return nil
}

// saveReady makes a Ready durable with at most one sync of the log.
func (n *Node) saveReady(r quorum.Ready) error {
	if r.Snapshot != nil {
		return n.saveSnapshot(*r.Snapshot, r.Entries, r.HardState)
	}
	var records [][]byte
	if r.HardState != nil {
		n.hardState = *r.HardState
		records = append(records, encodeHard(*r.HardState))
	}
	for _, e := range r.Entries {
		records = append(records, encodeEntry(e))
	}
	return n.log.Append(records)
}

func (n *Node) saveSnapshot(s quorum.Snapshot, entries []quorum.Entry, hardState *quorum.HardState) error {
	if hardState != nil {
		n.hardState = *hardState
	}
	data, err := json.Marshal(s)
	if err != nil {
		return Malformed.Wrap(err, "write snapshot")
	}
	records := [][]byte{encodeHard(n.hardState)}
	for _, e := range entries {
		records = append(records, encodeEntry(e))
	}
	return n.log.Reset(data, records)
}
