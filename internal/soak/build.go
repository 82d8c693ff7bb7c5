package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// programs are the daemons that a run starts.
const (
	programController = "controller"
	programRouter     = "router"
)

// replacement is one changed place of a source file, as the overlay has it.
type replacement struct{ file, from, to string }

// faultPackage is the import path of the package that the overlay adds.
const faultPackage = `"shaletrestle/coord/faultinjection"`

// replacements connect the daemons' sockets and disk with the added package.
var replacements = []replacement{
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

// Build compiles the daemons with faults injected into a folder. root is the repository's; race adds the race detector.
func Build(root, dir string, race bool) error {
	overlay, err := writeOverlay(root, dir)
	if err != nil {
		return err
	}
	args := []string{"build", "-overlay", overlay, "-o", dir + string(filepath.Separator)}
	if race {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "./cmd/"+programController, "./cmd/"+programRouter)...)
	build.Dir = root
	if output, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("build of the daemons: %w: %s", err, output)
	}
	return nil
}

// writeOverlay writes the changed sources beside an overlay file that names them, and returns the overlay's path.
func writeOverlay(root, dir string) (string, error) {
	sources := map[string]string{}
	for _, place := range replacements {
		path := filepath.Join(root, place.file)
		if _, known := sources[path]; !known {
			source, err := os.ReadFile(path)
			if err != nil {
				return "", err
			}
			sources[path] = string(source)
		}
		if n := strings.Count(sources[path], place.from); n != 1 {
			return "", fmt.Errorf("%s: the place %q appears %d times, want once", place.file, place.from, n)
		}
		sources[path] = strings.Replace(sources[path], place.from, place.to, 1)
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
