// Package mutation shows that tests bite: it changes one place of a source file, runs chosen tests of the
// package on the changed source and wants them to fail. The source on disk stays as it is.
package mutation

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const (
	// atOnce bounds how many mutants are built and run at the same time.
	atOnce = 2
	// runTime ends a mutant that hangs. A run takes a few seconds on a free machine, a minute on a crowded one.
	runTime = "5m"
)

var slots = make(chan struct{}, atOnce)

// Mutation is one wrong version of a package.
type Mutation struct {
	Name string
	File string // in the folder of the test's package, or a path relative to it
	From string // the text that is replaced; it stands in the file exactly once
	To   string
	Run  string // the tests that are to find it, as for go test -run
}

// Found fails the test unless the named tests of the package in the current folder fail on the mutant.
// A mutant that does not compile is no finding.
func Found(t *testing.T, m Mutation) {
	t.Helper()
	slots <- struct{}{}
	defer func() { <-slots }()
	overlay := write(t, m)
	binary := filepath.Join(t.TempDir(), "mutant.test")
	build := exec.Command("go", "test", "-c", "-vet=off", "-overlay", overlay, "-o", binary, ".")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%s: the mutant does not compile: %s", m.Name, out)
	}
	out, err := exec.Command(binary, "-test.run", m.Run, "-test.failfast", "-test.timeout", runTime).CombinedOutput()
	if err == nil {
		t.Fatalf("%s: no test found it\n%s", m.Name, out)
	}
	if strings.Contains(string(out), "test timed out") {
		t.Fatalf("%s: the tests ran out of time, which finds nothing", m.Name)
	}
	if strings.Contains(string(out), "no tests to run") {
		t.Fatalf("%s: %s names no test", m.Name, m.Run)
	}
}

// write puts the mutant beside an overlay file that names it, and gives the overlay's path.
func write(t *testing.T, m Mutation) string {
	t.Helper()
	original, err := filepath.Abs(m.File)
	if err != nil {
		t.Fatal(err)
	}
	source, err := os.ReadFile(original)
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(string(source), m.From); n != 1 {
		t.Fatalf("%s: the place stands %d times in %s", m.Name, n, m.File)
	}
	dir := t.TempDir()
	mutant := filepath.Join(dir, "mutant.go")
	changed := strings.Replace(string(source), m.From, m.To, 1)
	if err := os.WriteFile(mutant, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(map[string]any{"Replace": map[string]string{original: mutant}})
	if err != nil {
		t.Fatal(err)
	}
	overlay := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(overlay, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return overlay
}
