package upstream

import (
	"bytes"
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

const (
	// maxHeadBytes bounds the head of a response, with the interim responses before it.
	maxHeadBytes = 32 << 10
	// maxHeadLines bounds their lines: each takes far more memory once it is parsed.
	maxHeadLines = 256
	// headCopies is how often the bytes of a head are in memory while it is parsed.
	headCopies = 2
	// headLineBytes is the memory that a line takes beside its bytes.
	headLineBytes = 128
)

// intake reads a connection to a replica for the parser, counts what comes and holds it against the limits of its phase. What
// the parser has buffered before a phase begins belongs to that phase but is not counted. It belongs to the connection's reader.
type intake struct {
	source    io.Reader
	counts    *ByteCounts
	phase     Phase
	headBytes int // since the head began
	headLines int
	bodyBytes int64    // since the body began
	account   *account // of the exchange; nil before the first one
	exceeded  error    // the limit that was passed; the parser may hide it behind an error of its own
}

// begin begins a phase.
func (i *intake) begin(phase Phase) {
	i.phase = phase
	i.headBytes, i.headLines, i.bodyBytes = 0, 0, 0
}

// Read reads from the connection. A parser that wants more of a head than it may have gets an error.
func (i *intake) Read(buffer []byte) (int, error) {
	if i.phase == PhaseHead {
		return i.readHead(buffer)
	}
	n, err := i.source.Read(buffer)
	i.counts.add(i.phase, n)
	i.bodyBytes += int64(n)
	return n, err
}

// readHead reads of a head. The memory of what goes beyond one buffer is counted.
func (i *intake) readHead(buffer []byte) (int, error) {
	if i.headBytes > maxHeadBytes || i.headLines > maxHeadLines {
		i.exceeded = errHeadTooLarge
		return 0, i.exceeded
	}
	n, err := i.source.Read(buffer)
	i.counts.add(i.phase, n)
	lines := bytes.Count(buffer[:n], []byte{'\n'})
	if i.headBytes > 0 && i.account != nil {
		if shortage := i.account.take(int64(headCopies*n + headLineBytes*lines)); shortage != nil {
			i.exceeded = shortage
			return 0, shortage
		}
	}
	i.headBytes += n
	i.headLines += lines
	return n, err
}
