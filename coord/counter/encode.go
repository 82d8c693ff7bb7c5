package counter

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

// ErrInvalidEncoding says that bytes are none that this package wrote.
var ErrInvalidEncoding = errors.New("invalid encoding of counters")

// originBytes is the size of an encoded origin.
const originBytes = 8

// encodedBytes is the size of an encoded addition, or a little more.
func encodedBytes(addition Addition) int {
	return len(addition.Counter) + len(addition.ID) + 2*binary.MaxVarintLen16 + binary.MaxVarintLen64
}

func appendString(to []byte, text string) []byte {
	to = binary.AppendUvarint(to, uint64(len(text)))
	return append(to, text...)
}

// AppendRuns adds the encoded form of runs: their number, then each run with its origin, first number, number of additions
// and additions (counter, id, amount). Numbers are uvarints, an origin eight bytes little-endian; a text follows its
// length.
func AppendRuns(to []byte, runs []Run) []byte {
	to = binary.AppendUvarint(to, uint64(len(runs)))
	for _, run := range runs {
		to = binary.LittleEndian.AppendUint64(to, uint64(run.Origin))
		to = binary.AppendUvarint(to, run.First)
		to = binary.AppendUvarint(to, uint64(len(run.Additions)))
		for _, addition := range run.Additions {
			to = appendString(to, addition.Counter)
			to = appendString(to, addition.ID)
			to = binary.AppendUvarint(to, addition.Amount)
		}
	}
	return to
}

// DecodeRuns reads what AppendRuns wrote, and nothing after it. The error is ErrInvalidEncoding.
func DecodeRuns(encoded []byte) ([]Run, error) {
	d := &decoder{rest: encoded}
	runs := d.runs()
	return runs, d.end()
}

// decoder reads an encoding. After the first mistake it reads zero values.
type decoder struct {
	rest    []byte
	invalid bool
}

// end gives the error if there was a mistake, or if bytes are left.
func (d *decoder) end() error {
	if d.invalid || len(d.rest) > 0 {
		return ErrInvalidEncoding
	}
	return nil
}

func (d *decoder) fail() {
	d.invalid = true
	d.rest = nil
}

func (d *decoder) take(size uint64) []byte {
	if size > uint64(len(d.rest)) {
		d.fail()
		return nil
	}
	taken := d.rest[:size]
	d.rest = d.rest[size:]
	return taken
}

func (d *decoder) number() uint64 {
	number, width := binary.Uvarint(d.rest)
	if width <= 0 {
		d.fail()
		return 0
	}
	d.rest = d.rest[width:]
	return number
}

// count reads how many items follow, of which each takes at least so many bytes.
func (d *decoder) count(leastBytes int) uint64 {
	count := d.number()
	if count > uint64(len(d.rest)/leastBytes) {
		d.fail()
		return 0
	}
	return count
}

func (d *decoder) fixed() uint64 {
	taken := d.take(originBytes)
	if taken == nil {
		return 0
	}
	return binary.LittleEndian.Uint64(taken)
}

func (d *decoder) text() string { return string(d.take(d.number())) }

// name reads a text that is bounded as a counter's name or an id is.
func (d *decoder) name() string {
	name := d.text()
	if name == "" || len(name) > MaxNameBytes {
		d.fail()
	}
	return name
}

func (d *decoder) flag() bool {
	taken := d.take(1)
	if taken == nil {
		return false
	}
	if taken[0] > 1 {
		d.fail()
	}
	return taken[0] == 1
}

func (d *decoder) addition() Addition {
	addition := Addition{Counter: d.name(), ID: d.name(), Amount: d.number()}
	if addition.Amount > MaxAmount {
		d.fail()
	}
	return addition
}

// Least sizes of encoded items.
const (
	leastAdditionBytes = 5
	leastRunBytes      = originBytes + 2
	leastEntryBytes    = originBytes + 1
)

func (d *decoder) runs() []Run {
	var runs []Run
	for count := d.count(leastRunBytes); count > 0 && !d.invalid; count-- {
		run := Run{Origin: Origin(d.fixed()), First: d.number()}
		additions := d.count(leastAdditionBytes)
		run.Additions = make([]Addition, 0, additions)
		for ; additions > 0 && !d.invalid; additions-- {
			run.Additions = append(run.Additions, d.addition())
		}
		if run.Origin == 0 || run.First == 0 || run.First > run.First+uint64(len(run.Additions)) {
			d.fail()
		}
		runs = append(runs, run)
	}
	if d.invalid {
		return nil
	}
	return runs
}
