// Package recordedtest compares bytes with those that an earlier version of the code wrote, so that a change which
// would make stored data or the messages of running processes unreadable fails a test.
//
// A recording is a text file with one record a line: a name, a space, and the bytes as a quoted Go string. Recordings
// are never written again: a version with another form adds records beside the old ones.
package recordedtest

import (
	"bufio"
	"bytes"
	"os"
	"strconv"
	"strings"
	"testing"
)

// lineLimitBytes bounds a line of a recording; the quoted form of one byte has up to four.
const lineLimitBytes = 1 << 20

// Recording is the records of one file.
type Recording struct {
	t       testing.TB
	records map[string][]byte
	used    map[string]bool
}

// Open reads a recording. When the test has ended and has not failed, each record must have been asked for.
func Open(t testing.TB, path string) *Recording {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	r := &Recording{t: t, records: map[string][]byte{}, used: map[string]bool{}}
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, lineLimitBytes)
	for lines.Scan() {
		name, quoted, _ := strings.Cut(lines.Text(), " ")
		record, err := strconv.Unquote(quoted)
		if err != nil {
			t.Fatalf("%s: record %q: %v", path, name, err)
		}
		if _, twice := r.records[name]; twice {
			t.Fatalf("%s: record %q appears twice", path, name)
		}
		r.records[name] = []byte(record)
	}
	if err := lines.Err(); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	t.Cleanup(func() {
		for name := range r.records {
			if !r.used[name] && !t.Failed() {
				t.Errorf("%s: record %q was not compared", path, name)
			}
		}
	})
	return r
}

// Bytes returns the record with a name.
func (r *Recording) Bytes(name string) []byte {
	r.t.Helper()
	record, ok := r.records[name]
	if !ok {
		r.t.Fatalf("no record %q", name)
	}
	r.used[name] = true
	return bytes.Clone(record)
}

// Same fails the test unless the bytes written are those of the record with a name. It returns the record, for the caller to decode.
func (r *Recording) Same(name string, written []byte) []byte {
	r.t.Helper()
	record := r.Bytes(name)
	if !bytes.Equal(record, written) {
		r.t.Errorf("%s: written\n%q, recorded\n%q", name, written, record)
	}
	return record
}
