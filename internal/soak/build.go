package soak

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"

	"shaletrestle/internal/mutation"
)

// programs are the daemons that a run starts.
const (
	programController = "controller"
	programRouter     = "router"
)

// faultPackage is the import path of the package that the overlay adds.
const faultPackage = `"shaletrestle/coord/faultinjection"`

// place makes a replacement.
func place(file, from, to string) mutation.Replacement {
	return mutation.Replacement{File: file, From: from, To: to}
}

// replacements connect the daemons' sockets and disk with the added package.
var replacements = []mutation.Replacement{
	place("coord/rpc/net.go", `	"context"`, "\t\"context\"\n\t"+faultPackage),
	place("coord/rpc/net.go", `	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: prepareDial}
	return dialer.Dial("tcp4", address)`, `	return faultinjection.Dial(address, timeout, func(left time.Duration) (net.Conn, error) {
		dialer := net.Dialer{Timeout: left, KeepAlive: -1, Control: prepareDial, LocalAddr: faultinjection.Own()}
		return dialer.Dial("tcp4", address)
	})`),
	place("coord/rpc/net.go", `return config.Listen(context.Background(), "tcp4", address)`, `return faultinjection.Listen(config.Listen(context.Background(), "tcp4", address))`),
	place("internal/upstream/dial.go", `	"context"`, "\t\"context\"\n\t"+faultPackage),
	place("internal/upstream/dial.go", `	dialer := net.Dialer{
		Timeout: timeout,`, `	dialer := net.Dialer{
		LocalAddr: faultinjection.Own(),`),
	place("internal/upstream/dial.go", `return dialer.DialContext(context.Background(), "tcp4", address)`, `return faultinjection.Dial(address, timeout, func(left time.Duration) (net.Conn, error) {
		dialer.Timeout = left
		return dialer.DialContext(context.Background(), "tcp4", address)
	})`),
	place("coord/replication/store/osfiles.go", `	"os"`, "\t\"os\"\n\t"+faultPackage),
	place("coord/replication/store/osfiles.go", `	file, err := os.OpenFile(path, os.O_CREATE`, `	if err := faultinjection.Disk(); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(path, os.O_CREATE`),
	place("coord/replication/store/osfiles.go", `	return l.log.Write(uint64(index), record)`, `	if err := faultinjection.Disk(); err != nil {
		return err
	}
	return l.log.Write(uint64(index), record)`),
	place("coord/replication/store/osfiles.go", `	return l.log.Sync()`, `	if err := faultinjection.Disk(); err != nil {
		return err
	}
	return l.log.Sync()`),
}

// BuildOptions say how the daemons are built.
type BuildOptions struct {
	Root    string                 // of the repository, to which the files of Planted are relative
	Dir     string                 // for the programs
	Race    bool                   // with the race detector
	Planted []mutation.Replacement // further changes, to see that a run finds them
}

// Build compiles the daemons with faults injected.
func Build(options BuildOptions) error {
	dir := options.Dir
	overlay, err := writeOverlay(options.Root, dir, slices.Concat(replacements, options.Planted))
	if err != nil {
		return err
	}
	args := []string{"build", "-overlay", overlay, "-o", dir + string(filepath.Separator)}
	if options.Race {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "./cmd/"+programController, "./cmd/"+programRouter)...)
	build.Dir = options.Root
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

// writeOverlay writes the sources with the places changed and the injected package added, and returns the overlay's path.
func writeOverlay(root, dir string, places []mutation.Replacement) (string, error) {
	overlay := &mutation.Overlay{}
	for _, each := range places {
		each.File = filepath.Join(root, each.File)
		if err := overlay.Replace(each); err != nil {
			return "", err
		}
	}
	injected, err := os.ReadFile(filepath.Join(root, "internal/soak/testdata/faultinjection/faults.go.txt"))
	if err != nil {
		return "", err
	}
	if err := overlay.Add(filepath.Join(root, "coord/faultinjection/faults.go"), string(injected)); err != nil {
		return "", err
	}
	return overlay.Write(dir)
}
