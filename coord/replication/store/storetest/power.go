package storetest

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
)

// Restart turns the power on again after the process was killed: everything is as it was, and what was not synced still isn't.
func (d *Disk) Restart() {
	d.poweredOff = false
	d.powerCutStep = 0
	d.steps = nil
}

// Copy returns a disk that is the same and shares nothing, without faults.
func (d *Disk) Copy() *Disk {
	return &Disk{root: copier{}.node(d.root).(*directory), CapacityBytes: d.CapacityBytes}
}

// copier maps nodes to their copies, so that a file with two names stays one.
type copier map[node]node

func (c copier) node(original node) node {
	if original == nil {
		return nil
	}
	if made, ok := c[original]; ok {
		return made
	}
	if original, ok := original.(*file); ok {
		made := &file{
			durable: original.durable,
			current: original.current,
			pending: slices.Clone(original.pending),
		}
		c[original] = made
		return made
	}
	source := original.(*directory)
	made := newDirectory()
	c[original] = made
	for name, child := range source.durable {
		made.durable[name] = c.node(child)
	}
	for name, child := range source.current {
		made.current[name] = c.node(child)
	}
	for name, values := range source.since {
		for _, value := range values {
			made.since[name] = append(made.since[name], c.node(value))
		}
	}
	return made
}

// Chooser picks one of n possibilities.
type Chooser func(n int) int

// AllLost picks what was there at the last syncs.
func AllLost(int) int {
	return 0
}

// AllPresent picks what is there now.
func AllPresent(n int) int {
	return n - 1
}

// Random picks by a seeded generator.
func Random(generator *rand.Rand) Chooser {
	return generator.IntN
}

// AfterPowerLoss returns the disk as a loss of power leaves it. The possibilities for each name and each write are picked by the chooser.
func (d *Disk) AfterPowerLoss(choose Chooser) *Disk {
	loss := powerLoss{choose: choose, copies: map[node]node{}}
	return &Disk{root: loss.directory(d.root), CapacityBytes: d.CapacityBytes}
}

// Outcomes calls visit with each different disk that a loss of power may leave, until visit returns false. If there are more than limit possibilities, the extremes and limit random ones are visited. It reports whether all were.
func (d *Disk) Outcomes(limit int, generator *rand.Rand, visit func(*Disk) bool) (complete bool) {
	known := map[string]bool{}
	wanted := true
	visitOnce := func(outcome *Disk) {
		fingerprint := outcome.Fingerprint()
		if wanted && !known[fingerprint] {
			known[fingerprint] = true
			wanted = visit(outcome)
		}
	}
	visitOnce(d.AfterPowerLoss(AllLost))
	visitOnce(d.AfterPowerLoss(AllPresent))
	var choices odometer
	for tried := 0; wanted; tried++ {
		if tried == limit {
			break
		}
		visitOnce(d.AfterPowerLoss(choices.choose))
		if !choices.advance() {
			return wanted
		}
	}
	for range limit {
		if !wanted {
			break
		}
		visitOnce(d.AfterPowerLoss(Random(generator)))
	}
	return false
}

// powerLoss makes the disk that is left.
type powerLoss struct {
	choose Chooser
	copies map[node]node
}

func (p powerLoss) node(original node) node {
	if original == nil {
		return nil
	}
	if made, ok := p.copies[original]; ok {
		return made
	}
	var made node
	switch original := original.(type) {
	case *directory:
		made = p.directory(original)
	case *file:
		made = p.file(original)
	}
	p.copies[original] = made
	return made
}

func (p powerLoss) directory(original *directory) *directory {
	left := newDirectory()
	for _, name := range original.everyName() {
		value := original.durable[name]
		if values := original.since[name]; len(values) > 0 {
			value = values[p.choose(len(values))]
		}
		if value != nil {
			left.current[name] = p.node(value)
		}
	}
	left.sync()
	return left
}

// everyName returns the names that are or may be in the directory.
func (d *directory) everyName() []string {
	names := d.names()
	for name := range d.durable {
		names = append(names, name)
	}
	for name := range d.since {
		names = append(names, name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (p powerLoss) file(original *file) *file {
	content := original.durable
	for _, change := range original.pending {
		possible := change.possibilities()
		for _, part := range possible[p.choose(len(possible))] {
			content = part.applyTo(content)
		}
	}
	return &file{durable: content, current: content}
}

// possibilities returns what may be left of a change: nothing, parts, all. Of a torn write a part at its start is there, and the rest is missing or reads as zeros.
func (c fileChange) possibilities() [][]fileChange {
	missing := []fileChange{}
	complete := []fileChange{c}
	if c.truncation {
		return [][]fileChange{missing, complete}
	}
	size := len(c.content)
	possible := [][]fileChange{missing}
	for _, present := range []int{1, size / 2, size - 1} {
		if present > 0 && present < size {
			possible = append(possible, []fileChange{{offset: c.offset, content: c.content[:present]}})
		}
	}
	for _, present := range []int{0, size / 2} {
		zeroed := make([]byte, size)
		copy(zeroed, c.content[:present])
		possible = append(possible, []fileChange{{offset: c.offset, content: zeroed}})
	}
	return append(possible, complete)
}

// odometer is a chooser that goes through all sequences of picks.
type odometer struct {
	picks  []int
	limits []int
	at     int
}

func (o *odometer) choose(n int) int {
	if o.at == len(o.picks) {
		o.picks = append(o.picks, 0)
		o.limits = append(o.limits, n)
	}
	o.limits[o.at] = n
	pick := o.picks[o.at]
	o.at++
	return pick
}

// advance goes to the next sequence; false: there is none.
func (o *odometer) advance() bool {
	o.at = 0
	for last := len(o.picks) - 1; last >= 0; last-- {
		if o.picks[last]+1 < o.limits[last] {
			o.picks[last]++
			o.picks = o.picks[:last+1]
			o.limits = o.limits[:last+1]
			return true
		}
	}
	return false
}

// Fingerprint is the same for disks with the same names and contents.
func (d *Disk) Fingerprint() string {
	return string(appendFingerprint(nil, d.root, map[*file]int{}))
}

// appendFingerprint writes a directory's names and contents, each with its length. Files are numbered, since one may have two names.
func appendFingerprint(out []byte, within *directory, numbers map[*file]int) []byte {
	out = binary.AppendUvarint(out, uint64(len(within.current)))
	for _, name := range within.names() {
		out = binary.AppendUvarint(out, uint64(len(name)))
		out = append(out, name...)
		switch child := within.current[name].(type) {
		case *directory:
			out = append(out, 'd')
			out = appendFingerprint(out, child, numbers)
		case *file:
			if _, known := numbers[child]; !known {
				numbers[child] = len(numbers)
			}
			out = append(out, 'f')
			out = binary.AppendUvarint(out, uint64(numbers[child]))
			out = binary.AppendUvarint(out, uint64(len(child.current)))
			out = append(out, child.current...)
		}
	}
	return out
}
