package store

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// recordKind says what the payload of a record is.
type recordKind byte

const (
	identityRecord recordKind = iota + 1
	registerRecord
	snapshotRecord
	entryRecord
)

// A record is: magic, checksum of all that follows, kind, the id of the disk it was written for, payload.
const (
	checksumOffset = 4
	kindOffset     = 8
	ownerOffset    = 9
	payloadOffset  = 17
)

var (
	recordMagic      = []byte("\x7frp2")
	firstFormatMagic = []byte("\x7ftly") // of the first format

	checksumTable = crc32.MakeTable(crc32.Castagnoli)
)

// seal makes a record.
func seal(kind recordKind, owner uint64, payload []byte) []byte {
	record := make([]byte, payloadOffset, payloadOffset+len(payload))
	copy(record, recordMagic)
	record[kindOffset] = byte(kind)
	binary.LittleEndian.PutUint64(record[ownerOffset:], owner)
	record = append(record, payload...)
	sum := crc32.Checksum(record[kindOffset:], checksumTable)
	binary.LittleEndian.PutUint32(record[checksumOffset:], sum)
	return record
}

// unseal returns the owner and the payload of a complete record of a kind.
func unseal(kind recordKind, record []byte) (owner uint64, payload []byte, ok bool) {
	if len(record) < payloadOffset || !bytes.HasPrefix(record, recordMagic) {
		return 0, nil, false
	}
	sum := binary.LittleEndian.Uint32(record[checksumOffset:])
	if sum != crc32.Checksum(record[kindOffset:], checksumTable) {
		return 0, nil, false
	}
	if record[kindOffset] != byte(kind) {
		return 0, nil, false
	}
	owner = binary.LittleEndian.Uint64(record[ownerOffset:])
	return owner, record[payloadOffset:], true
}
