package disk

import (
	"encoding/binary"
	"hash/crc32"
)

// A batch is written as one frame, so that only the last frame of a file can be torn:
//
//	header:  u32 length of body, u32 checksum of body, u32 checksum of the former eight bytes
//	body:    for each record a u32 length and the bytes
const (
	headerSize = 12
	// sectorSize is the unit that a disk writes wholly or not at all, in bytes.
	sectorSize = 512
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Sum returns the checksum that files, frames and blocks carry.
func Sum(data []byte) uint32 { return crc32.Checksum(data, castagnoli) }

func encodeFrame(records [][]byte) []byte {
	size := headerSize
	for _, r := range records {
		size += 4 + len(r)
	}
	frame := make([]byte, headerSize, size)
	for _, r := range records {
		frame = binary.LittleEndian.AppendUint32(frame, uint32(len(r)))
		frame = append(frame, r...)
	}
	body := frame[headerSize:]
	binary.LittleEndian.PutUint32(frame[0:], uint32(len(body)))
	binary.LittleEndian.PutUint32(frame[4:], Sum(body))
	binary.LittleEndian.PutUint32(frame[8:], Sum(frame[:8]))
	return frame
}

// decodeFrames returns the records of all whole frames and how many bytes they
// take. Bytes past that are a torn tail; damage is an error of type Damaged.
func decodeFrames(data []byte) (records [][]byte, whole int, err error) {
	at := 0
	for at < len(data) {
		rest := data[at:]
		if len(rest) < headerSize {
			return records, at, nil
		}
		if Sum(rest[:8]) != binary.LittleEndian.Uint32(rest[8:]) {
			if tornHeader(data, at) {
				return records, at, nil
			}
			return nil, at, Damaged.New("frame header at byte %d fails its checksum", at)
		}
		length := int(binary.LittleEndian.Uint32(rest))
		if length > len(rest)-headerSize {
			return records, at, nil
		}
		body := rest[headerSize : headerSize+length]
		if Sum(body) != binary.LittleEndian.Uint32(rest[4:]) {
			last := at+headerSize+length == len(data)
			if last && hasBlankSector(data, at, len(data)) {
				return records, at, nil
			}
			return nil, at, Damaged.New("frame body at byte %d fails its checksum", at)
		}
		split, err := splitBody(body, at)
		if err != nil {
			return nil, at, err
		}
		records = append(records, split...)
		at += headerSize + length
	}
	return records, at, nil
}

func splitBody(body []byte, at int) ([][]byte, error) {
	var records [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, Damaged.New("frame at byte %d holds half a record", at)
		}
		n := int(binary.LittleEndian.Uint32(body))
		if n > len(body)-4 {
			return nil, Damaged.New("frame at byte %d holds half a record", at)
		}
		records = append(records, body[4:4+n:4+n])
		body = body[4+n:]
	}
	return records, nil
}

// tornHeader reports whether a bad header at byte at can be the trace of a write
// that did not finish: a sector that was not written reads as zeros or is absent.
func tornHeader(data []byte, at int) bool {
	if allZero(data[at:]) {
		return true
	}
	border := (at/sectorSize + 1) * sectorSize
	if border >= at+headerSize {
		// The header lies in one sector, which is written wholly or not at all.
		return allZero(data[at:min(border, len(data))])
	}
	return allZero(data[at:border]) || allZero(data[border:min(border+sectorSize, len(data))])
}

// hasBlankSector reports whether a part of data[from:to] that fills what it
// covers of a sector is all zeros, as a sector that was never written reads.
func hasBlankSector(data []byte, from, to int) bool {
	for at := from; at < to; {
		end := min((at/sectorSize+1)*sectorSize, to)
		if end-at >= minBlank && allZero(data[at:end]) {
			return true
		}
		at = end
	}
	return false
}

// minBlank keeps a few zeros that happen to end a sound record from passing for an unwritten sector.
const minBlank = 8

func allZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}
