package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
)

// programs are the daemons that a run starts.
const (
	programController = "controller"
	programRouter     = "router"
)

// Replacement is one changed place of a source file, as the overlay has it: the text From, which stands in it once, becomes
// To.
type Replacement struct{ File, From, To string }

// faultPackage is the import path of the package that the overlay adds.
const faultPackage = `"shaletrestle/coord/faultinjection"`

// replacements connect the daemons' sockets and disk with the added package.
var replacements = []Replacement{
	{"coord/rpc/net.go", `	"context"`, "\t\"context\"\n\t" + faultPackage},
	{"coord/rpc/net.go", `	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: setUserTimeout}
	return dialer.Dial("tcp4", address)`, `	return faultinjection.Dial(address, timeout, func(left time.Duration) (net.Conn, error) {
		dialer := net.Dialer{Timeout: left, KeepAlive: -1, Control: setUserTimeout, LocalAddr: faultinjection.Own()}
		return dialer.Dial("tcp4", address)
	})`},
	{"coord/rpc/net.go", `return config.Listen(context.Background(), "tcp4", address)`, `return faultinjection.Listen(config.Listen(context.Background(), "tcp4", address))`},
	{"internal/upstream/dial.go", `	"context"`, "\t\"context\"\n\t" + faultPackage},
	{"internal/upstream/dial.go", `	dialer := net.Dialer{
		Timeout: timeout,`, `	dialer := net.Dialer{
		LocalAddr: faultinjection.Own(),`},
	{"internal/upstream/dial.go", `return dialer.DialContext(context.Background(), "tcp4", address)`, `return faultinjection.Dial(address, timeout, func(left time.Duration) (net.Conn, error) {
		dialer.Timeout = left
		return dialer.DialContext(context.Background(), "tcp4", address)
	})`},
	{"coord/replication/store/osfiles.go", `	"os"`, "\t\"os\"\n\t" + faultPackage},
	{"coord/replication/store/osfiles.go", `	file, err := os.OpenFile(path, os.O_CREATE`, `	if err := faultinjection.Disk(); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(path, os.O_CREATE`},
	{"coord/replication/store/osfiles.go", `	return l.log.Write(uint64(index), record)`, `	if err := faultinjection.Disk(); err != nil {
		return err
	}
	return l.log.Write(uint64(index), record)`},
	{"coord/replication/store/osfiles.go", `	return l.log.Sync()`, `	if err := faultinjection.Disk(); err != nil {
		return err
	}
	return l.log.Sync()`},
}

// BuildOptions say how the daemons are built.
type BuildOptions struct {
	Root    string        // of the repository
	Dir     string        // for the programs
	Race    bool          // with the race detector
	Planted []Replacement // further changes, to see that a run finds them
}

// Build compiles the daemons with faults injected.
func Build(options BuildOptions) error {
	dir := options.Dir
	root, err := filepath.Abs(options.Root) // the overlay's names are looked up from the folder of the build
	if err != nil {
		return err
	}
	overlay, err := writeOverlay(root, dir, slices.Concat(replacements, options.Planted))
	if err != nil {
		return err
	}
	args := []string{"build", "-overlay", overlay, "-o", dir + string(filepath.Separator)}
	if options.Race {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "./cmd/"+programController, "./cmd/"+programRouter)...)
	build.Dir = root
	if output, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("build of the daemons: %w: %s", err, output)
	}
	return checkInjected(dir)
}

// injectedMark is a text of the injected package.
const injectedMark = "SOAK_FAULTS"

// checkInjected makes sure that the programs have the faults in them: a run without would find nothing.
func checkInjected(dir string) error {
	for _, program := range []string{programController, programRouter} {
		binary, err := os.ReadFile(filepath.Join(dir, program))
		if err != nil {
			return err
		}
		if !bytes.Contains(binary, []byte(injectedMark)) {
			return fmt.Errorf("%s was built without the faults: the overlay names other files", program)
		}
	}
	return nil
}

// writeOverlay writes the changed sources beside an overlay file that names them, and returns the overlay's path.
func writeOverlay(root, dir string, places []Replacement) (string, error) {
	sources := map[string]string{}
	for _, place := range places {
		path := filepath.Join(root, place.File)
		if _, known := sources[path]; !known {
			source, err := os.ReadFile(path)
			if err != nil {
				return "", err
			}
			sources[path] = string(source)
		}
		if n := strings.Count(sources[path], place.From); n != 1 {
			return "", fmt.Errorf("%s: the place %q appears %d times, want once", place.File, place.From, n)
		}
		sources[path] = strings.Replace(sources[path], place.From, place.To, 1)
	}
	injected, err := os.ReadFile(filepath.Join(root, "internal/soak/testdata/faultinjection/faults.go.txt"))
	if err != nil {
		return "", err
	}
	sources[filepath.Join(root, "coord/faultinjection/faults.go")] = string(injected)
	replaced := map[string]string{}
	for path, source := range sources {
		changed := filepath.Join(dir, fmt.Sprintf("overlay-%d.go", len(replaced)))
		if err := os.WriteFile(changed, []byte(source), 0o600); err != nil {
			return "", err
		}
		replaced[path] = changed
	}
	content, err := json.Marshal(map[string]any{"Replace": replaced})
	if err != nil {
		return "", err
	}
	overlay := filepath.Join(dir, "overlay.json")
	return overlay, os.WriteFile(overlay, content, 0o600)
}
