// Package mutation checks that tests detect faults: it changes places of source files, runs chosen tests of a package on
// the changed sources and requires them to fail. The sources on disk stay as they are. Only tests import it.
//
// It gives their binaries the flag -mutants. Without it nothing is built; it is only checked that the places to change are in the sources.
package mutation

import (
	"flag"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const (
	// maxConcurrent bounds how many mutants are built and run at the same time.
	maxConcurrent = 2
	// runTimeout ends a mutant that hangs. A run takes a few seconds on an idle machine, a minute on a loaded one.
	runTimeout = "5m"
)

var (
	slots   = make(chan struct{}, maxConcurrent)
	mutants = flag.Bool("mutants", false, "build wrong versions of the code and see that the tests find each; takes some minutes")
)

// Replacement is one changed place of a source file.
type Replacement struct {
	File string // a path relative to the folder of the test's package
	From string // the text that is replaced; it appears in the file exactly once
	To   string
}

// Mutation is one wrong version of a package, or of one that it imports.
type Mutation struct {
	Name    string
	File    string // the first place, as in Replacement
	From    string
	To      string
	More    []Replacement // further places, replaced after the first, in their order
	Package string        // whose tests run, as a path relative to the test's package; empty: that package itself
	Run     string        // the tests that are to find it, as for go test -run
	Args    []string      // further arguments of the test binary
	Shows   string        // what the failing tests have to print; empty: any failure finds the mutant
}

// AllFound fails the test unless the named tests fail on each of the mutants, and logs what they say.
// A mutant that does not compile is no finding.
//
// Without the flag -mutants it fails the test only if a place to be replaced doesn't appear in its file exactly once.
func AllFound(t *testing.T, mutations []Mutation) {
	for _, m := range mutations {
		t.Run(m.Name, func(t *testing.T) {
			t.Parallel()
			overlay := writeOverlay(t, m)
			if *mutants {
				found(t, m, overlay)
			}
		})
	}
}

// found runs the tests on one mutant.
func found(t *testing.T, m Mutation, overlay string) {
	t.Helper()
	slots <- struct{}{}
	defer func() { <-slots }()
	binary := filepath.Join(t.TempDir(), "mutant.test")
	build := exec.Command("go", "test", "-c", "-vet=off", "-overlay", overlay, "-o", binary, "./"+m.Package)
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%s: the mutant does not compile: %s", m.Name, out)
	}
	args := append([]string{"-test.run", m.Run, "-test.failfast", "-test.timeout", runTimeout}, m.Args...)
	run := exec.Command(binary, args...)
	run.Dir = m.Package
	out, err := run.CombinedOutput()
	if err == nil {
		t.Fatalf("%s: no test found it\n%s", m.Name, out)
	}
	if strings.Contains(string(out), "test timed out") {
		t.Fatalf("%s: the tests ran out of time, which finds nothing", m.Name)
	}
	if strings.Contains(string(out), "no tests to run") {
		t.Fatalf("%s: %s names no test", m.Name, m.Run)
	}
	if !strings.Contains(string(out), m.Shows) {
		t.Fatalf("%s: the tests fail, and do not print %q\n%s", m.Name, m.Shows, out)
	}
	t.Logf("%s: %s", m.Name, lineWith(string(out), m.Shows))
}

// lineWith returns the first line that contains a text.
func lineWith(output, text string) string {
	for line := range strings.Lines(output) {
		if strings.Contains(line, text) {
			return strings.TrimSpace(line)
		}
	}
	return ""
}

// writeOverlay puts the mutant's files beside an overlay file that names them, and returns the overlay's path.
func writeOverlay(t *testing.T, m Mutation) string {
	t.Helper()
	overlay := &Overlay{}
	for _, place := range append([]Replacement{{m.File, m.From, m.To}}, m.More...) {
		if err := overlay.Replace(place); err != nil {
			t.Fatalf("%s: %v", m.Name, err)
		}
	}
	file, err := overlay.Write(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return file
}
