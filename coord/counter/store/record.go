package store

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"shaletrestle/coord/counter"
)

// recordKind says what a record is.
type recordKind byte

const (
	runsRecord     recordKind = iota + 1 // additions
	completeRecord                       // the member had totals, with all additions of the records before
)

// A record is: magic, checksum of all that follows, kind, length of the payload, payload.
const (
	checksumOffset = 4
	kindOffset     = 8
	lengthOffset   = 9
	payloadOffset  = 13
)

var (
	recordMagic   = []byte("\x7fct1")
	checksumTable = crc32.MakeTable(crc32.Castagnoli)
)

func appendRecord(to []byte, kind recordKind, payload []byte) []byte {
	start := len(to)
	to = append(to, recordMagic...)
	to = append(to, 0, 0, 0, 0, byte(kind))
	to = binary.LittleEndian.AppendUint32(to, uint32(len(payload)))
	to = append(to, payload...)
	sum := crc32.Checksum(to[start+kindOffset:], checksumTable)
	binary.LittleEndian.PutUint32(to[start+checksumOffset:], sum)
	return to
}

// firstRecord reads the record at the start of a file's content; false if there is no valid one.
func firstRecord(content []byte) (kind recordKind, payload []byte, size int, ok bool) {
	if len(content) < payloadOffset || !bytes.HasPrefix(content, recordMagic) {
		return 0, nil, 0, false
	}
	length := binary.LittleEndian.Uint32(content[lengthOffset:])
	if uint64(length) > uint64(len(content)-payloadOffset) {
		return 0, nil, 0, false
	}
	size = payloadOffset + int(length)
	sum := binary.LittleEndian.Uint32(content[checksumOffset:])
	if sum != crc32.Checksum(content[kindOffset:size], checksumTable) {
		return 0, nil, 0, false
	}
	return recordKind(content[kindOffset]), content[payloadOffset:size], size, true
}

// readRecords reads what is valid in a file. It reports damage if anything valid comes after what is not.
func readRecords(content []byte) (stored counter.Stored, damaged bool) {
	invalid := false
	for len(content) > 0 {
		kind, payload, size, ok := firstRecord(content)
		var runs []counter.Run
		if ok && kind == runsRecord {
			var err error
			runs, err = counter.DecodeRuns(payload)
			ok = err == nil
		}
		if !ok {
			invalid = true
			next := bytes.Index(content[1:], recordMagic)
			if next < 0 {
				break
			}
			content = content[1+next:]
			continue
		}
		damaged = damaged || invalid
		stored.Runs = append(stored.Runs, runs...)
		stored.Complete = stored.Complete || kind == completeRecord
		content = content[size:]
	}
	return stored, damaged
}
