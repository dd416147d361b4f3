package disk

import (
	"encoding/binary"
	"hash/crc32"
)

// A batch of records is written as one frame, so that only the last frame of a file can be
// torn. All numbers are little-endian.
//
//	header:  u32 length of the body, u32 checksum of the body, u32 checksum of the 8 bytes before
//	body:    for each record, its u32 length and its bytes
const (
	headerSize = 12
	// sectorSize is the unit that a disk writes atomically, in bytes.
	sectorSize = 512
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// Sum returns the CRC-32C checksum that is stored with files, frames and blocks.
func Sum(data []byte) uint32 { return crc32.Checksum(data, castagnoliTable) }

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

// decodeFrames returns the records of all complete frames and how many bytes those frames
// take. The bytes after them are a torn tail; corruption is an error of type Damaged.
func decodeFrames(data []byte) (records [][]byte, complete int, err error) {
	offset := 0
	for offset < len(data) {
		rest := data[offset:]
		if len(rest) < headerSize {
			return records, offset, nil
		}
		if Sum(rest[:8]) != binary.LittleEndian.Uint32(rest[8:]) {
			if isTornHeader(data, offset) {
				return records, offset, nil
			}
			return nil, offset, Damaged.New("frame header at byte %d fails its checksum", offset)
		}
		length := int(binary.LittleEndian.Uint32(rest))
		if length > len(rest)-headerSize {
			return records, offset, nil
		}
		body := rest[headerSize : headerSize+length]
		if Sum(body) != binary.LittleEndian.Uint32(rest[4:]) {
			last := offset+headerSize+length == len(data)
			if last && hasUnwrittenSector(data, offset, len(data)) {
				return records, offset, nil
			}
			return nil, offset, Damaged.New("frame body at byte %d fails its checksum", offset)
		}
		split, err := splitRecords(body, offset)
		if err != nil {
			return nil, offset, err
		}
		records = append(records, split...)
		offset += headerSize + length
	}
	return records, offset, nil
}

func splitRecords(body []byte, offset int) ([][]byte, error) {
	var records [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, Damaged.New("frame at byte %d ends within a record length", offset)
		}
		n := int(binary.LittleEndian.Uint32(body))
		if n > len(body)-4 {
			return nil, Damaged.New("frame at byte %d ends within a record", offset)
		}
		records = append(records, body[4:4+n:4+n])
		body = body[4+n:]
	}
	return records, nil
}

// isTornHeader reports whether the invalid header at offset can be the result of an
// unfinished write: a sector that was not written reads as zeros or is absent.
func isTornHeader(data []byte, offset int) bool {
	if isAllZero(data[offset:]) {
		return true
	}
	sectorEnd := (offset/sectorSize + 1) * sectorSize
	if sectorEnd >= offset+headerSize {
		// The header lies in one sector, which is written atomically.
		return isAllZero(data[offset:min(sectorEnd, len(data))])
	}
	return isAllZero(data[offset:sectorEnd]) || isAllZero(data[sectorEnd:min(sectorEnd+sectorSize, len(data))])
}

// hasUnwrittenSector reports whether the part of data[from:to] in any one sector is all
// zeros, as if that sector was never written, and is at least minZeroBytes long.
func hasUnwrittenSector(data []byte, from, to int) bool {
	for offset := from; offset < to; {
		end := min((offset/sectorSize+1)*sectorSize, to)
		if end-offset >= minZeroBytes && isAllZero(data[offset:end]) {
			return true
		}
		offset = end
	}
	return false
}

// minZeroBytes is the shortest run of zeros, in bytes, that counts as an unwritten sector: a
// few zeros may simply be the end of a record.
const minZeroBytes = 8

func isAllZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}
