package core

import (
	"encoding/binary"
	"errors"
)

var errBadStream = errors.New("the stream of a state is damaged")

// encodeState writes a snapshot and the entries after it as one stream. Indices and previous digests of the entries follow from the chain and are left out.
func encodeState(snapshot Snapshot, tail []Entry) []byte {
	out := binary.AppendUvarint(nil, uint64(snapshot.Position.Index))
	out = binary.LittleEndian.AppendUint64(out, uint64(snapshot.Position.Digest))
	out = appendBytes(out, snapshot.Data)
	return append(out, encodeEntries(tail)...)
}

func encodeEntries(entries []Entry) []byte {
	var out []byte
	for _, entry := range entries {
		out = binary.AppendUvarint(out, uint64(entry.Epoch))
		out = binary.AppendUvarint(out, uint64(entry.Ballot))
		out = appendBytes(out, entry.Data)
	}
	return out
}

func appendBytes(out, data []byte) []byte {
	out = binary.AppendUvarint(out, uint64(len(data)))
	return append(out, data...)
}

// decodeState reads what encodeState wrote.
func decodeState(data []byte) (Snapshot, []Entry, error) {
	r := reader{data: data}
	index := r.number()
	digest := r.fixed()
	body := r.bytes()
	if r.bad {
		return Snapshot{}, nil, errBadStream
	}
	snapshot := Snapshot{Position: Position{Index: Index(index), Digest: Digest(digest)}, Data: body}
	entries, err := decodeEntries(r.data, snapshot.Position)
	return snapshot, entries, err
}

// decodeEntries reads what encodeEntries wrote; they follow a position.
func decodeEntries(data []byte, after Position) ([]Entry, error) {
	r := reader{data: data}
	var entries []Entry
	for len(r.data) > 0 {
		entry := Entry{Index: after.Index + 1, Previous: after.Digest}
		entry.Epoch = Epoch(r.number())
		entry.Ballot = Ballot(r.number())
		entry.Data = r.bytes()
		if r.bad {
			return nil, errBadStream
		}
		entries = append(entries, entry)
		after = entry.Position()
	}
	return entries, nil
}

// endOf is the position after entries that follow one.
func endOf(start Position, entries []Entry) Position {
	if len(entries) == 0 {
		return start
	}
	return entries[len(entries)-1].Position()
}

// reader takes fields from the front; bad stays set after the first that is incomplete.
type reader struct {
	data []byte
	bad  bool
}

func (r *reader) number() uint64 {
	n, size := binary.Uvarint(r.data)
	if size <= 0 {
		r.bad = true
		r.data = nil
		return 0
	}
	r.data = r.data[size:]
	return n
}

func (r *reader) fixed() uint64 {
	if len(r.data) < 8 {
		r.bad = true
		r.data = nil
		return 0
	}
	n := binary.LittleEndian.Uint64(r.data)
	r.data = r.data[8:]
	return n
}

func (r *reader) bytes() []byte {
	n := r.number()
	if n > uint64(len(r.data)) {
		r.bad = true
		r.data = nil
		return nil
	}
	out := append([]byte{}, r.data[:n]...)
	r.data = r.data[n:]
	return out
}
