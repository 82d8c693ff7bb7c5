package store

// What the tests outside the package look into.
var (
	EncodeSegment  = encodeSegment
	EncodeSnapshot = encodeSnapshot
	EncodeRegister = encodeRegister
	DecodeSnapshot = decodeSnapshot
	DecodeRegister = decodeRegister
	DecodeIdentity = decodeIdentity
	ReadSegment    = readSegment
	AppendRecord   = appendRecord
)

// The records of each kind around any payload.
var (
	SealIdentity = sealAs(identityRecord)
	SealRegister = sealAs(registerRecord)
	SealSnapshot = sealAs(snapshotRecord)
	SealEntry    = sealAs(entryRecord)
)

func sealAs(kind recordKind) func(owner uint64, payload []byte) []byte {
	return func(owner uint64, payload []byte) []byte {
		return seal(kind, owner, payload)
	}
}
