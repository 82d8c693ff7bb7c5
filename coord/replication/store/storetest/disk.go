// Package storetest is a model of a disk for tests of the store: it can lose power or fail at any step, and it knows what each loss of power may leave.
//
// A file keeps what its last sync covered. Each later write is present, missing or torn. Each name in a directory that was made, replaced or removed since the directory's last sync has, by itself, any of the values it had since then.
package storetest

import (
	"io/fs"
	"path"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"shaletrestle/coord/replication/core"
	"shaletrestle/coord/replication/store"
)

var (
	// ErrPowerOff is returned by every call after power was lost or the process was killed.
	ErrPowerOff = errors.New("the power is off")

	// ErrFull is returned by calls that need room on a full disk.
	ErrFull = errors.New("no space left on device")
)

// OperationKind is what a step does.
type OperationKind string

// The kinds of steps. Reading is no step: it changes nothing.
const (
	Mkdir    OperationKind = "make dir"
	Create   OperationKind = "create"
	Write    OperationKind = "write"
	SyncFile OperationKind = "sync file"
	Truncate OperationKind = "truncate"
	Rename   OperationKind = "rename"
	Remove   OperationKind = "remove"
	SyncDir  OperationKind = "sync dir"
)

// Operation is a step.
type Operation struct {
	Kind OperationKind
	Path string // of a rename: the new path
}

// Disk is a model of a disk. It implements store.FileSystem. The zero value is not usable; see NewDisk.
type Disk struct {
	// Fail returns the error with which a step fails, or nil. The step then has no effect, except that half of a write is done.
	Fail func(Operation) error
	// Skip reports whether a step is reported as done but has no effect. It is for tests of the tests.
	Skip func(Operation) bool
	// Wait is called before each step, and may block as a faulty disk does.
	Wait func(Operation)
	// CapacityBytes is the room for contents in bytes; zero: no limit.
	CapacityBytes int

	root         *directory
	powerCutStep int
	poweredOff   bool
	steps        []Operation
	peakBytes    int
}

var _ store.FileSystem = (*Disk)(nil)

// NewDisk returns an empty disk.
func NewDisk() *Disk {
	return &Disk{root: newDirectory()}
}

// CutPowerAt turns the power off at a step, counted from 1: that step and all calls after it fail without effect.
func (d *Disk) CutPowerAt(step int) {
	d.powerCutStep = step
}

// Steps returns the steps done so far.
func (d *Disk) Steps() []Operation {
	return d.steps
}

// PeakBytes returns the most bytes of contents that were on the disk at once.
func (d *Disk) PeakBytes() int {
	return d.peakBytes
}

// step begins a step. It reports whether the step is to be left out.
func (d *Disk) step(kind OperationKind, name string) (skip bool, err error) {
	operation := Operation{Kind: kind, Path: name}
	if d.Wait != nil {
		d.Wait(operation)
	}
	if d.powerCutStep > 0 && len(d.steps)+1 >= d.powerCutStep {
		d.poweredOff = true
	}
	if d.poweredOff {
		return false, ErrPowerOff
	}
	d.steps = append(d.steps, operation)
	if d.Fail != nil {
		if err := d.Fail(operation); err != nil {
			return false, err
		}
	}
	return d.Skip != nil && d.Skip(operation), nil
}

// Mkdir makes a directory.
func (d *Disk) Mkdir(name string) error {
	skip, err := d.step(Mkdir, name)
	if err != nil || skip {
		return err
	}
	parent, base, err := d.parent(name)
	if err != nil {
		return err
	}
	if parent.current[base] != nil {
		return fs.ErrExist
	}
	parent.set(base, newDirectory())
	return nil
}

// List returns the names in a directory.
func (d *Disk) List(name string) ([]string, error) {
	if d.poweredOff {
		return nil, ErrPowerOff
	}
	found, err := d.directory(name)
	if err != nil {
		return nil, err
	}
	return found.names(), nil
}

// ReadFile returns the complete content of a file.
func (d *Disk) ReadFile(name string) ([]byte, error) {
	if d.poweredOff {
		return nil, ErrPowerOff
	}
	found, err := d.file(name)
	if err != nil {
		return nil, err
	}
	return slices.Clone(found.current), nil
}

// Create makes or empties a file.
func (d *Disk) Create(name string) (store.File, error) {
	skip, err := d.step(Create, name)
	if err != nil {
		return nil, err
	}
	parent, base, err := d.parent(name)
	if err != nil {
		return nil, err
	}
	switch existing := parent.current[base].(type) {
	case *directory:
		return nil, errors.New("is a directory")
	case *file:
		if !skip {
			existing.truncate(0)
		}
		return &openFile{disk: d, path: name, file: existing}, nil
	}
	made := &file{}
	parent.set(base, made)
	return &openFile{disk: d, path: name, file: made}, nil
}

// Truncate cuts a file to a size and syncs it.
func (d *Disk) Truncate(name string, size int64) error {
	skip, err := d.step(Truncate, name)
	if err != nil || skip {
		return err
	}
	found, err := d.file(name)
	if err != nil {
		return err
	}
	found.truncate(int(size))
	return (&openFile{disk: d, path: name, file: found}).Sync()
}

// OpenLog opens a segment. Its layout is that of the log library; a test compares the two.
func (d *Disk) OpenLog(dir string, first core.Index) (store.Log, error) {
	if d.poweredOff {
		return nil, ErrPowerOff
	}
	name := path.Join(dir, store.SegmentName(first))
	found, err := d.file(name)
	if err != nil {
		return nil, err
	}
	return segment{&openFile{disk: d, path: name, file: found}}, nil
}

// Rename gives a file another name.
func (d *Disk) Rename(from, to string) error {
	skip, err := d.step(Rename, to)
	if err != nil || skip {
		return err
	}
	source, sourceBase, err := d.parent(from)
	if err != nil {
		return err
	}
	target, targetBase, err := d.parent(to)
	if err != nil {
		return err
	}
	moved := source.current[sourceBase]
	if moved == nil {
		return fs.ErrNotExist
	}
	source.set(sourceBase, nil)
	target.set(targetBase, moved)
	return nil
}

// Remove removes a file or an empty directory.
func (d *Disk) Remove(name string) error {
	parent, base, err := d.parent(name)
	if err != nil {
		return err
	}
	if parent.current[base] == nil {
		return fs.ErrNotExist
	}
	if inner, ok := parent.current[base].(*directory); ok && len(inner.current) > 0 {
		return errors.New("directory is not empty")
	}
	skip, err := d.step(Remove, name)
	if err != nil || skip {
		return err
	}
	parent.set(base, nil)
	return nil
}

// SyncDir makes the names in a directory durable.
func (d *Disk) SyncDir(name string) error {
	skip, err := d.step(SyncDir, name)
	if err != nil || skip {
		return err
	}
	found, err := d.directory(name)
	if err != nil {
		return err
	}
	found.sync()
	return nil
}

// node finds what has a path.
func (d *Disk) node(name string) (node, error) {
	var at node = d.root
	for part := range strings.SplitSeq(path.Clean(name), "/") {
		if part == "" || part == "." {
			continue
		}
		within, ok := at.(*directory)
		if !ok || within.current[part] == nil {
			return nil, fs.ErrNotExist
		}
		at = within.current[part]
	}
	return at, nil
}

func (d *Disk) directory(name string) (*directory, error) {
	if d.poweredOff {
		return nil, ErrPowerOff
	}
	found, err := d.node(name)
	if err != nil {
		return nil, err
	}
	within, ok := found.(*directory)
	if !ok {
		return nil, errors.New("not a directory")
	}
	return within, nil
}

func (d *Disk) file(name string) (*file, error) {
	found, err := d.node(name)
	if err != nil {
		return nil, err
	}
	content, ok := found.(*file)
	if !ok {
		return nil, errors.New("not a file")
	}
	return content, nil
}

func (d *Disk) parent(name string) (within *directory, base string, err error) {
	name = path.Clean(name)
	within, err = d.directory(path.Dir(name))
	return within, path.Base(name), err
}
