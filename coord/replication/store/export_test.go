package store

// What the tests outside the package look into.
var (
	EncodeSegment  = encodeSegment
	EncodeSnapshot = encodeSnapshot
	EncodeRegister = encodeRegister
	EncodeIdentity = encodeIdentity
	DecodeSnapshot = decodeSnapshot
	DecodeRegister = decodeRegister
	DecodeIdentity = decodeIdentity
	ReadSegment    = readSegment
)
