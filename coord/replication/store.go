package replication

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"

	"github.com/tidwall/wal"

	"shaletrestle/coord/rpc"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/errkind"
)

// Tag tells under which epoch and ballot a member's state was handed over.
type Tag struct {
	Epoch uint64 `json:"epoch"`
	Mark  uint64 `json:"mark"`
}

// Covers tells whether state with this tag is at least as new as another's.
func (t Tag) Covers(o Tag) bool {
	return t.Epoch > o.Epoch || (t.Epoch == o.Epoch && t.Mark >= o.Mark)
}

// Register is what a witness keeps: the newest chosen chart, and promise and acceptance for the epoch after it.
type Register struct {
	Chart    *rpc.Chart `json:"chart"`
	Promised uint64     `json:"promised"`
	Ballot   uint64     `json:"ballot"`
	Accepted *rpc.Chart `json:"accepted"`
}

// Held is the state that a store holds: a base and the entries after it.
type Held struct {
	Tag  Tag
	Base []byte
	Tail [][]byte
}

// Store keeps a member's records. Every method that writes returns only when the bytes are synced.
type Store interface {
	Identity() (id uint64, boot bool)
	LoadRegister() Register
	SaveRegister(Register) error
	Load() Held
	Reset(Held) error
	Append(entry []byte) error
	Size() int
}

type identity struct {
	ID   uint64 `json:"id"`
	Boot bool   `json:"boot"`
}

// DiskStore is the store in a folder.
type DiskStore struct {
	dir  string
	id   identity
	reg  Register
	seq  uint64
	gen  uint64
	held Held
	log  *wal.Log
	next uint64
	size int
	note string
	cut  int

	syncFolder func(dir string) error // syncDir, but for tests
}

// segmentSize is well above the size at which a checkpoint replaces the log, so that most logs have one segment.
const segmentSize = constants.LogSegment * 4

var magic = []byte("\x7ftly")

func seal(b []byte) []byte {
	o := make([]byte, 8, 8+len(b))
	copy(o, magic)
	binary.LittleEndian.PutUint32(o[4:], crc32.ChecksumIEEE(b))
	return append(o, b...)
}

func unseal(b []byte) ([]byte, bool) {
	if len(b) < 8 || !bytes.Equal(b[:4], magic) || binary.LittleEndian.Uint32(b[4:]) != crc32.ChecksumIEEE(b[8:]) {
		return nil, false
	}
	return b[8:], true
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = d.Sync()
	_ = d.Close()
	return err
}

func putFile(p string, b []byte) error {
	f, err := os.OpenFile(p, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	return err
}

func getJSON(p string, v any) bool {
	b, err := os.ReadFile(p)
	if err != nil {
		return false
	}
	b, ok := unseal(b)
	return ok && json.Unmarshal(b, v) == nil
}

// OpenDisk opens the folder's store. An empty folder gets a new identity, synced before it returns; a folder whose body is damaged is emptied and gets one too, so that it can't pass for a holder.
func OpenDisk(dir string, boot bool) (*DiskStore, error) {
	s := &DiskStore{dir: dir, syncFolder: syncDir}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "data folder")
	}
	why, fresh := s.load()
	if why != "" {
		s.note = why
		if err := s.empty(); err != nil {
			return nil, errkind.Wrap(errkind.Internal, err, "emptying the data folder")
		}
		fresh, boot = true, false
	}
	if fresh {
		var b [8]byte
		_, _ = rand.Read(b[:])
		s.id = identity{ID: binary.LittleEndian.Uint64(b[:]) | 1, Boot: boot}
		j, _ := json.Marshal(s.id)
		if err := putFile(s.path("identity"), seal(j)); err != nil {
			return nil, errkind.Wrap(errkind.Internal, err, "identity")
		}
		if err := s.syncFolder(dir); err != nil {
			return nil, errkind.Wrap(errkind.Internal, err, "data folder")
		}
	}
	return s, nil
}

// Note tells what was found wrong when the store was opened, if anything.
func (s *DiskStore) Note() string { return s.note }

// Cut tells how many bytes of a torn tail were cut when the store was opened.
func (s *DiskStore) Cut() int { return s.cut }

func (s *DiskStore) path(p string) string { return filepath.Join(s.dir, p) }

func (s *DiskStore) empty() error {
	es, err := os.ReadDir(s.dir)
	if err != nil {
		return err
	}
	for _, e := range es {
		if err := os.RemoveAll(s.path(e.Name())); err != nil {
			return err
		}
	}
	*s = DiskStore{dir: s.dir, note: s.note, syncFolder: s.syncFolder}
	return s.syncFolder(s.dir)
}

type checkpointFile struct {
	Tag  Tag      `json:"tag"`
	Base []byte   `json:"base"`
	Tail [][]byte `json:"tail"`
}

func (s *DiskStore) gens() []uint64 {
	es, _ := os.ReadDir(s.dir)
	var gs []uint64
	for _, e := range es {
		if x, ok := strings.CutPrefix(e.Name(), "checkpoint-"); ok {
			if g, err := strconv.ParseUint(x, 10, 64); err == nil {
				gs = append(gs, g)
			}
		}
	}
	sort.Slice(gs, func(i, j int) bool { return gs[i] > gs[j] })
	return gs
}

// load reads the folder; why is set when its body is damaged.
func (s *DiskStore) load() (why string, fresh bool) {
	if _, err := os.Stat(s.path("identity")); os.IsNotExist(err) {
		es, _ := os.ReadDir(s.dir)
		if len(es) > 0 {
			return "records without an identity", true
		}
		return "", true
	}
	if !getJSON(s.path("identity"), &s.id) || s.id.ID == 0 {
		return "the identity is damaged", true
	}
	slots, bad := 0, 0
	for i := range 2 {
		var x struct {
			Seq uint64   `json:"seq"`
			Reg Register `json:"reg"`
		}
		p := s.path("register-" + strconv.Itoa(i))
		if _, err := os.Stat(p); err != nil {
			continue
		}
		slots++
		if !getJSON(p, &x) {
			bad++
			continue
		}
		if x.Seq > s.seq {
			s.seq, s.reg = x.Seq, x.Reg
		}
	}
	if slots == 2 && bad == 2 {
		return "both register slots are damaged", true
	}
	gs := s.gens()
	for _, g := range gs {
		var c checkpointFile
		if !getJSON(s.path("checkpoint-"+strconv.FormatUint(g, 10)), &c) {
			continue
		}
		s.gen, s.held = g, Held{c.Tag, c.Base, c.Tail}
		break
	}
	if len(gs) > 0 && s.gen == 0 {
		if len(gs) == 1 && gs[0] == 1 {
			_ = os.Remove(s.path("checkpoint-1")) // the first one was never finished
			return "", false
		}
		return "no checkpoint can be read", true
	}
	if s.gen == 0 {
		return "", false
	}
	tail, err := s.openLog()
	if err != nil {
		return err.Error(), true
	}
	s.held.Tail = append(s.held.Tail, tail...)
	return "", false
}

func (s *DiskStore) logDir() string { return s.path("log-" + strconv.FormatUint(s.gen, 10)) }

// mend cuts a damaged tail of a log segment at its last whole record and tells how many bytes that were; damage before a whole record is an error.
func mend(p string) (cut int, err error) {
	b, err := os.ReadFile(p)
	if err != nil {
		return 0, err
	}
	off := 0
	for off < len(b) {
		n, k := binary.Uvarint(b[off:])
		if k <= 0 || n > uint64(len(b)-off-k) {
			break
		}
		if _, ok := unseal(b[off+k : off+k+int(n)]); !ok {
			break
		}
		off += k + int(n)
	}
	if off == len(b) {
		return 0, nil
	}
	for at := off + 1; at < len(b); at++ {
		i := bytes.Index(b[at:], magic)
		if i < 0 {
			break
		}
		at += i
		for k := 1; k <= 5 && at-k >= off; k++ {
			if n, w := binary.Uvarint(b[at-k:]); w == k && n >= 8 && n <= uint64(len(b)-at) {
				if _, ok := unseal(b[at : at+int(n)]); ok && at-k > off {
					return 0, errkind.New(errkind.Internal, "the log's body is damaged at byte %d", off)
				}
			}
		}
	}
	f, err := os.OpenFile(p, os.O_RDWR, 0o600)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	if err := f.Truncate(int64(off)); err != nil {
		return 0, err
	}
	return len(b) - off, f.Sync()
}

func (s *DiskStore) openLog() ([][]byte, error) {
	es, _ := os.ReadDir(s.logDir())
	for _, e := range es {
		if !e.IsDir() {
			cut, err := mend(filepath.Join(s.logDir(), e.Name()))
			if err != nil {
				return nil, err
			}
			s.cut += cut
		}
	}
	l, err := wal.Open(s.logDir(), &wal.Options{SegmentSize: segmentSize, LogFormat: wal.Binary, SegmentCacheSize: 1, DirPerms: 0o700, FilePerms: 0o600})
	if err != nil {
		return nil, err
	}
	s.log, s.next, s.size = l, 1, 0
	if err := s.syncFolder(s.logDir()); err != nil { // wal.Open may have made the first segment
		return nil, err
	}
	first, err := l.FirstIndex()
	if err != nil {
		return nil, err
	}
	last, err := l.LastIndex()
	if err != nil {
		return nil, err
	}
	var tail [][]byte
	for i := first; first > 0 && i <= last; i++ {
		b, err := l.Read(i)
		if err != nil {
			return nil, err
		}
		b, ok := unseal(b)
		if !ok {
			return nil, errkind.New(errkind.Internal, "record %d is damaged", i)
		}
		tail = append(tail, bytes.Clone(b))
		s.size += len(b)
		s.next = i + 1
	}
	return tail, nil
}

// Identity is the disk's own id, and whether it was made at the first start.
func (s *DiskStore) Identity() (uint64, bool) { return s.id.ID, s.id.Boot }

// LoadRegister gives the register as it was at opening or last saved.
func (s *DiskStore) LoadRegister() Register { return s.reg }

// SaveRegister writes the register into the older of its two slots.
func (s *DiskStore) SaveRegister(r Register) error {
	x := struct {
		Seq uint64   `json:"seq"`
		Reg Register `json:"reg"`
	}{s.seq + 1, r}
	j, err := json.Marshal(x)
	if err != nil {
		return err
	}
	if err := putFile(s.path("register-"+strconv.FormatUint(x.Seq%2, 10)), seal(j)); err != nil {
		return err
	}
	if x.Seq <= 2 {
		if err := s.syncFolder(s.dir); err != nil {
			return err
		}
	}
	s.seq, s.reg = x.Seq, r
	return nil
}

// Load gives the state read at opening.
func (s *DiskStore) Load() Held { return s.held }

// Reset puts a whole state in place of what was held.
func (s *DiskStore) Reset(h Held) error {
	j, err := json.Marshal(checkpointFile(h))
	if err != nil {
		return err
	}
	g := s.gen + 1
	for _, x := range s.gens() {
		g = max(g, x+1)
	}
	if err := putFile(s.path("checkpoint-"+strconv.FormatUint(g, 10)), seal(j)); err != nil {
		return err
	}
	if s.log != nil {
		_ = s.log.Close()
		s.log = nil
	}
	s.gen = g
	if _, err := s.openLog(); err != nil {
		return err
	}
	if err := s.syncFolder(s.dir); err != nil {
		return err
	}
	s.held = Held{}
	es, _ := os.ReadDir(s.dir)
	for _, e := range es {
		for _, p := range []string{"checkpoint-", "log-"} {
			if x, ok := strings.CutPrefix(e.Name(), p); ok && x != strconv.FormatUint(g, 10) {
				_ = os.RemoveAll(s.path(e.Name()))
			}
		}
	}
	return nil
}

// Append adds one entry. After an error the log is closed until the next Reset.
func (s *DiskStore) Append(e []byte) error {
	if s.log == nil {
		return errkind.New(errkind.Internal, "no log is open")
	}
	if err := s.log.Write(s.next, seal(e)); err != nil {
		_ = s.log.Close()
		s.log = nil
		return err
	}
	if s.segmentMade() {
		if err := s.syncFolder(s.logDir()); err != nil {
			_ = s.log.Close()
			s.log = nil
			return err
		}
	}
	s.next++
	s.size += len(e)
	return nil
}

// segmentMade tells whether the write of entry s.next made a new segment: one that begins with the entry, or an empty one for the entry after it.
func (s *DiskStore) segmentMade() bool {
	if s.next > 1 && s.hasSegment(s.next) {
		return true
	}
	return s.hasSegment(s.next + 1)
}

// hasSegment tells whether a segment of the log begins with the entry.
func (s *DiskStore) hasSegment(first uint64) bool {
	_, err := os.Stat(filepath.Join(s.logDir(), fmt.Sprintf("%020d", first)))
	return err == nil
}

// Size is the number of bytes of entries since the last checkpoint.
func (s *DiskStore) Size() int { return s.size }
