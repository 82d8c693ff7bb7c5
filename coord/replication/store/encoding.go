package store

import (
	"bytes"
	"encoding/binary"
	"encoding/json"

	"shaletrestle/coord/replication/core"
)

// identity is what a disk is known by.
type identity struct {
	id             uint64
	bootstrap      bool
	bootstrapSeeds []string // with which the group is bootstrapped; no others count for the first view
}

// identityPayload is the payload of an identity record; the id is the record's owner.
type identityPayload struct {
	Bootstrap      bool     `json:"first_start"`
	BootstrapSeeds []string `json:"first_seeds,omitempty"`
}

func encodeIdentity(i identity) ([]byte, error) {
	payload, err := json.Marshal(identityPayload{Bootstrap: i.bootstrap, BootstrapSeeds: i.bootstrapSeeds})
	if err != nil {
		return nil, err
	}
	return seal(identityRecord, i.id, payload), nil
}

func decodeIdentity(record []byte) (identity, bool) {
	owner, payload, ok := unseal(identityRecord, record)
	if !ok || owner == 0 {
		return identity{}, false
	}
	var decoded identityPayload
	if json.Unmarshal(payload, &decoded) != nil {
		return identity{}, false
	}
	return identity{id: owner, bootstrap: decoded.Bootstrap, bootstrapSeeds: decoded.BootstrapSeeds}, true
}

func encodeRegister(owner uint64, register core.Register) ([]byte, error) {
	payload, err := json.Marshal(register)
	if err != nil {
		return nil, err
	}
	return seal(registerRecord, owner, payload), nil
}

func decodeRegister(owner uint64, record []byte) (core.Register, bool) {
	recordOwner, payload, ok := unseal(registerRecord, record)
	if !ok || recordOwner != owner {
		return core.Register{}, false
	}
	var register core.Register
	if json.Unmarshal(payload, &register) != nil {
		return core.Register{}, false
	}
	return register, true
}

// generation counts the states that a disk was given. Only the highest one with a snapshot counts.
type generation uint64

// snapshotHeaderBytes is the size of what precedes the data: generation, epoch, ballot, index, digest.
const snapshotHeaderBytes = 5 * 8

func encodeSnapshot(owner uint64, number generation, snapshot core.Snapshot) []byte {
	payload := make([]byte, 0, snapshotHeaderBytes+len(snapshot.Data))
	payload = appendUint64s(payload,
		uint64(number),
		uint64(snapshot.Tag.Epoch),
		uint64(snapshot.Tag.Ballot),
		uint64(snapshot.Position.Index),
		uint64(snapshot.Position.Digest),
	)
	payload = append(payload, snapshot.Data...)
	return seal(snapshotRecord, owner, payload)
}

func decodeSnapshot(owner uint64, number generation, record []byte) (core.Snapshot, bool) {
	recordOwner, payload, ok := unseal(snapshotRecord, record)
	if !ok || recordOwner != owner || len(payload) < snapshotHeaderBytes {
		return core.Snapshot{}, false
	}
	if generation(uint64Field(payload, 0)) != number {
		return core.Snapshot{}, false
	}
	snapshot := core.Snapshot{
		Tag: core.StateTag{
			Epoch:  core.Epoch(uint64Field(payload, 1)),
			Ballot: core.Ballot(uint64Field(payload, 2)),
		},
		Position: core.Position{
			Index:  core.Index(uint64Field(payload, 3)),
			Digest: core.Digest(uint64Field(payload, 4)),
		},
		Data: bytes.Clone(payload[snapshotHeaderBytes:]),
	}
	return snapshot, true
}

// entryHeaderBytes is the size of what precedes the data: index, epoch, ballot, previous digest.
const entryHeaderBytes = 4 * 8

func encodeEntry(owner uint64, entry core.Entry) []byte {
	payload := make([]byte, 0, entryHeaderBytes+len(entry.Data))
	payload = appendUint64s(payload,
		uint64(entry.Index),
		uint64(entry.Epoch),
		uint64(entry.Ballot),
		uint64(entry.Previous),
	)
	payload = append(payload, entry.Data...)
	return seal(entryRecord, owner, payload)
}

func decodeEntry(record []byte) (owner uint64, entry core.Entry, ok bool) {
	owner, payload, ok := unseal(entryRecord, record)
	if !ok || len(payload) < entryHeaderBytes {
		return 0, core.Entry{}, false
	}
	entry = core.Entry{
		Index:    core.Index(uint64Field(payload, 0)),
		Epoch:    core.Epoch(uint64Field(payload, 1)),
		Ballot:   core.Ballot(uint64Field(payload, 2)),
		Previous: core.Digest(uint64Field(payload, 3)),
		Data:     bytes.Clone(payload[entryHeaderBytes:]),
	}
	return owner, entry, true
}

func appendUint64s(out []byte, numbers ...uint64) []byte {
	for _, number := range numbers {
		out = binary.LittleEndian.AppendUint64(out, number)
	}
	return out
}

// uint64Field returns a field, counted from 0, of a payload that begins with numbers.
func uint64Field(payload []byte, field int) uint64 {
	return binary.LittleEndian.Uint64(payload[field*8:])
}
