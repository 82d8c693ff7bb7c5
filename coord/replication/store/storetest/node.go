package storetest

import (
	"encoding/binary"
	"maps"
	"slices"

	"shaletrestle/coord/replication/core"
)

// node is a file or a directory. Its names are kept by the directories it is in.
type node any

// directory keeps what each name was at the last sync, and is now.
type directory struct {
	durable map[string]node
	current map[string]node
	since   map[string][]node // the values that a name had since the last sync; nil: missing
}

func newDirectory() *directory {
	return &directory{
		durable: map[string]node{},
		current: map[string]node{},
		since:   map[string][]node{},
	}
}

// set gives a name another value; nil removes it.
func (d *directory) set(name string, value node) {
	if len(d.since[name]) == 0 {
		d.since[name] = []node{d.durable[name]}
	}
	if !slices.Contains(d.since[name], value) {
		d.since[name] = append(d.since[name], value)
	}
	if value == nil {
		delete(d.current, name)
		return
	}
	d.current[name] = value
}

func (d *directory) sync() {
	d.durable = maps.Clone(d.current)
	clear(d.since)
}

func (d *directory) names() []string {
	return slices.Sorted(maps.Keys(d.current))
}

// file keeps its content at the last sync, what was done to it since, and its content now.
type file struct {
	durable []byte
	current []byte
	pending []fileChange
}

// fileChange is a write at an offset, or a truncation to it.
type fileChange struct {
	truncation bool
	offset     int
	content    []byte
}

func (f *file) truncate(size int) {
	if size == len(f.current) {
		return
	}
	f.apply(fileChange{truncation: true, offset: size})
}

func (f *file) apply(c fileChange) {
	f.pending = append(f.pending, c)
	f.current = c.applyTo(f.current)
}

func (f *file) sync() {
	f.durable = slices.Clone(f.current)
	f.pending = nil
}

// applyTo returns a content after the change. What was missing before a write's offset reads as zeros.
func (c fileChange) applyTo(content []byte) []byte {
	if c.truncation {
		if len(content) <= c.offset {
			return content
		}
		return slices.Clone(content[:c.offset])
	}
	size := max(len(content), c.offset+len(c.content))
	changed := make([]byte, size)
	copy(changed, content)
	copy(changed[c.offset:], c.content)
	return changed
}

// openFile is a file open for adding to its end.
type openFile struct {
	disk *Disk
	path string
	file *file
}

// Write adds to the file's end. A write that fails is half done.
func (h *openFile) Write(content []byte) (int, error) {
	if len(content) == 0 {
		return 0, nil
	}
	skip, err := h.disk.step(Write, h.path)
	switch {
	case h.disk.poweredOff:
		return 0, err
	case err != nil:
		return h.add(content[:len(content)/2]), err
	case skip:
		return len(content), nil
	}
	if room, limited := h.disk.room(); limited && len(content) > room {
		return h.add(content[:room]), ErrFull
	}
	return h.add(content), nil
}

func (h *openFile) add(content []byte) int {
	if len(content) > 0 {
		h.file.apply(fileChange{offset: len(h.file.current), content: slices.Clone(content)})
	}
	h.disk.peakBytes = max(h.disk.peakBytes, h.disk.used())
	return len(content)
}

// Sync makes the content durable. The name is not part of it.
func (h *openFile) Sync() error {
	skip, err := h.disk.step(SyncFile, h.path)
	if err != nil || skip {
		return err
	}
	h.file.sync()
	return nil
}

// Close does nothing.
func (h *openFile) Close() error {
	return nil
}

// segment is a log segment open for adding records.
type segment struct {
	*openFile
}

// Write adds a record in one write.
func (s segment) Write(_ core.Index, record []byte) error {
	framed := binary.AppendUvarint(nil, uint64(len(record)))
	_, err := s.openFile.Write(append(framed, record...))
	return err
}

func (s segment) Sync() error {
	return s.openFile.Sync()
}

// used is the size of all contents that have a name.
func (d *Disk) used() int {
	total := 0
	seen := map[node]bool{}
	var add func(*directory)
	add = func(within *directory) {
		for _, child := range within.current {
			if seen[child] {
				continue
			}
			seen[child] = true
			switch child := child.(type) {
			case *directory:
				add(child)
			case *file:
				total += len(child.current)
			}
		}
	}
	add(d.root)
	return total
}

func (d *Disk) room() (bytes int, limited bool) {
	if d.CapacityBytes == 0 {
		return 0, false
	}
	return max(0, d.CapacityBytes-d.used()), true
}
