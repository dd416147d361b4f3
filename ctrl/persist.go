package ctrl

import (
	"encoding/binary"
	"encoding/json"

	"egretshunt/disk"
	"egretshunt/quorum"
)

// Kinds of record in the log file.
const (
	hardRecord  = 'h'
	entryRecord = 'e'
)

const entryHead = 1 + 8 + 8 + 4

func encodeHard(h quorum.Hard) []byte {
	// Hard holds only values that JSON can write.
	data, _ := json.Marshal(h)
	return append([]byte{hardRecord}, data...)
}

func encodeEntry(e quorum.Entry) []byte {
	out := make([]byte, entryHead, entryHead+len(e.Data))
	out[0] = entryRecord
	binary.LittleEndian.PutUint64(out[1:], e.Index)
	binary.LittleEndian.PutUint64(out[9:], e.Term)
	binary.LittleEndian.PutUint32(out[17:], e.Kind)
	return append(out, e.Data...)
}

// durable is what a member had on disk.
type durable struct {
	hard     quorum.Hard
	snapshot quorum.Snapshot
	entries  []quorum.Entry
}

// recover reads the member's state back; later entries replace earlier ones of their index.
func recoverState(loaded disk.Loaded) (durable, error) {
	d := durable{}
	if loaded.Snapshot != nil {
		if err := json.Unmarshal(loaded.Snapshot, &d.snapshot); err != nil {
			return d, Malformed.Wrap(err, "read snapshot file")
		}
	}
	for i, r := range loaded.Records {
		if err := d.take(r); err != nil {
			return d, Malformed.Wrap(err, "read record %d of the log", i)
		}
	}
	return d, nil
}

func (d *durable) take(record []byte) error {
	if len(record) == 0 {
		return Malformed.New("empty record")
	}
	switch record[0] {
	case hardRecord:
		if err := json.Unmarshal(record[1:], &d.hard); err != nil {
			return Malformed.Wrap(err, "read term and vote")
		}
		return nil
	case entryRecord:
		return d.takeEntry(record)
	}
	return Malformed.New("unknown kind of record %q", record[0])
}

func (d *durable) takeEntry(record []byte) error {
	if len(record) < entryHead {
		return Malformed.New("entry of %d bytes", len(record))
	}
	e := quorum.Entry{
		Index: binary.LittleEndian.Uint64(record[1:]),
		Term:  binary.LittleEndian.Uint64(record[9:]),
		Kind:  binary.LittleEndian.Uint32(record[17:]),
		Data:  record[entryHead:],
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

// save makes a Ready durable with at most one sync of the log.
func (n *Node) save(r quorum.Ready) error {
	if r.Snapshot != nil {
		return n.saveSnapshot(*r.Snapshot, r.Entries, r.Hard)
	}
	var records [][]byte
	if r.Hard != nil {
		n.hard = *r.Hard
		records = append(records, encodeHard(*r.Hard))
	}
	for _, e := range r.Entries {
		records = append(records, encodeEntry(e))
	}
	return n.log.Append(records)
}

func (n *Node) saveSnapshot(s quorum.Snapshot, entries []quorum.Entry, hard *quorum.Hard) error {
	if hard != nil {
		n.hard = *hard
	}
	data, err := json.Marshal(s)
	if err != nil {
		return Malformed.Wrap(err, "write snapshot")
	}
	records := [][]byte{encodeHard(n.hard)}
	for _, e := range entries {
		records = append(records, encodeEntry(e))
	}
	return n.log.Reset(data, records)
}
