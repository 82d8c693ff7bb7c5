package upstream

import (
	"io"

	"go.uber.org/atomic"
)

// Phase is a part of what a replica sends on a connection.
type Phase int

// The phases.
const (
	PhaseHead Phase = iota // of a response, with interim and surplus responses before it, and whatever comes while none is due
	PhaseBody              // with its framing and trailer
	phaseCount
)

var phaseTexts = [phaseCount]string{PhaseHead: "head", PhaseBody: "body"}

// String is the phase as a label.
func (p Phase) String() string { return phaseTexts[p] }

// ByteCounts count what replicas sent, by the phase in which it was read from the socket. They are safe for concurrent use.
type ByteCounts struct {
	bytes [phaseCount]atomic.Int64
	reads [phaseCount]atomic.Int64
}

// PhaseCount is what was read in one phase.
type PhaseCount struct {
	Phase        Phase
	Bytes, Reads int64
}

// All lists the counts, by phase.
func (c *ByteCounts) All() []PhaseCount {
	var all []PhaseCount
	for phase := range phaseCount {
		all = append(all, PhaseCount{Phase: phase, Bytes: c.bytes[phase].Load(), Reads: c.reads[phase].Load()})
	}
	return all
}

func (c *ByteCounts) add(phase Phase, bytes int) {
	c.bytes[phase].Add(int64(bytes))
	c.reads[phase].Inc()
}

// intake reads a connection to a replica for the parser and counts what comes. It belongs to the connection's reader.
type intake struct {
	source io.Reader
	counts *ByteCounts
	phase  Phase
}

// begin begins a phase.
func (i *intake) begin(phase Phase) { i.phase = phase }

// Read reads from the connection.
func (i *intake) Read(buffer []byte) (int, error) {
	n, err := i.source.Read(buffer)
	i.counts.add(i.phase, n)
	return n, err
}
