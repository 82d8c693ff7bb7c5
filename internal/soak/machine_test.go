package soak

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
	"gopkg.in/yaml.v3"

	"shaletrestle/internal/settings"
)

// lifecycleBin makes the tests of a daemon's start and end use programs that were built elsewhere, as those of an earlier landing.
var lifecycleBin = flag.String("lifecycle.bin", "", "folder of the daemons for the lifecycle tests; none: they are built")

const (
	// lifecycleTimeout bounds each wait of these tests; it is reached only by a failure.
	lifecycleTimeout = 30 * time.Second
	lifecyclePoll    = 5 * time.Millisecond
)

// lifecycleDir is where the daemons are built; TestMain makes and removes it.
var lifecycleDir string

// builtDaemons builds the daemons once for all tests of the package, with faults of the disk.
var builtDaemons = sync.OnceValues(func() (string, error) {
	if *lifecycleBin != "" {
		return *lifecycleBin, nil
	}
	return lifecycleDir, Build(BuildOptions{Root: "../..", Dir: lifecycleDir})
})

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "lifecycle-")
	if err != nil {
		panic(err)
	}
	lifecycleDir = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// machine is one machine of its own address, on which both programs may run, as on himal-saw.
type machine struct {
	t     *testing.T
	dir   string
	ip    string
	fleet *fleet
}

func newMachine(t *testing.T) *machine {
	t.Helper()
	prefix, err := freePrefix()
	require.NoError(t, err)
	dir := t.TempDir()
	f := &fleet{prefix: prefix, dir: dir, faults: linkFaults{Cut: map[string]bool{}, DelayMs: map[string]float64{}, Disk: map[string]string{}}}
	require.NoError(t, f.writeFaults())
	return &machine{t: t, dir: dir, ip: prefix + "11", fleet: f}
}

// settings are those of a program on this machine, which tolerates no loss.
func (m *machine) settings(program string) settings.Settings {
	p := &process{name: program, program: program, ip: m.ip, zone: zones[0], dir: filepath.Join(m.dir, program)}
	s := m.fleet.settingsOf(p, true, []string{address(m.ip, portControl)})
	s.Tolerance = settings.Tolerance{}
	s.Bounds.GraceS = 3
	return s
}

// settingsFile names the file of a program's settings.
func (m *machine) settingsFile(program string) string {
	return filepath.Join(m.dir, program+".yaml")
}

// encoded are settings as the platform writes them.
func encoded(t *testing.T, s settings.Settings) []byte {
	t.Helper()
	content, err := yaml.Marshal(s)
	require.NoError(t, err)
	return content
}

// writeSettings writes a program's settings.
func (m *machine) writeSettings(program string) {
	m.t.Helper()
	s := m.settings(program)
	require.NoError(m.t, os.MkdirAll(s.DataDir, 0o700))
	require.NoError(m.t, os.WriteFile(m.settingsFile(program), encoded(m.t, s), 0o600))
}

// ownAddresses are what a program listens at.
func (m *machine) ownAddresses(program string) []string {
	return ownAddresses(program, m.settings(program))
}

// servingAddress is where a program answers HTTP in any state.
func (m *machine) servingAddress(program string) string {
	if program == programRouter {
		return m.settings(program).Bind.Readiness
	}
	return m.settings(program).Bind.Control
}

// incarnation is one run of a program.
type incarnation struct {
	m       *machine
	program string
	command *exec.Cmd
	log     string // the file that it logs to; empty: a pipe of the test
	started time.Time
	ended   chan struct{}
}

// start runs a program, which logs to a file.
func (m *machine) start(program string) *incarnation {
	m.t.Helper()
	file, err := os.CreateTemp(m.dir, program+"-*.log")
	require.NoError(m.t, err)
	defer func() { _ = file.Close() }()
	i := m.startLogging(program, file)
	i.log = file.Name()
	return i
}

// startLogging runs a program whose standard output and error are a file of the caller.
func (m *machine) startLogging(program string, output *os.File) *incarnation {
	m.t.Helper()
	bin, err := builtDaemons()
	require.NoError(m.t, err)
	command := exec.Command(filepath.Join(bin, program))
	command.Env = append(os.Environ(), "SHALETRESTLE_NODE_FILE="+m.settingsFile(program), "SOAK_FAULTS="+m.fleet.faultFile(), "SOAK_ADDRESS="+m.ip)
	command.Stdout, command.Stderr = output, output
	i := &incarnation{m: m, program: program, command: command, ended: make(chan struct{})}
	require.NoError(m.t, command.Start())
	i.started = time.Now()
	go func() {
		_ = command.Wait()
		close(i.ended)
	}()
	m.t.Cleanup(func() {
		_ = command.Process.Kill()
		<-i.ended
	})
	return i
}

// hasEnded reports whether the process is gone.
func (i *incarnation) hasEnded() bool {
	select {
	case <-i.ended:
		return true
	default:
		return false
	}
}

// ending describes the end of a process that is gone.
func (i *incarnation) ending() string {
	return i.program + ": " + endingOf(i.command, i.started, 1, i.log).String()
}

// requireRuns fails if the process is gone.
func (i *incarnation) requireRuns() {
	i.m.t.Helper()
	if i.hasEnded() {
		require.FailNow(i.m.t, "the process ended by itself", i.ending())
	}
}

// await waits until a condition holds, while the process must run.
func (i *incarnation) await(what string, condition func() bool) {
	i.m.t.Helper()
	for end := time.Now().Add(lifecycleTimeout); !condition(); time.Sleep(lifecyclePoll) {
		i.requireRuns()
		require.True(i.m.t, time.Now().Before(end), "%s: not within %v: %s", i.program, lifecycleTimeout, what)
	}
}

// awaitServing waits until the process answers.
func (i *incarnation) awaitServing() {
	i.m.t.Helper()
	i.await("it answers", func() bool { return answers(i.m.servingAddress(i.program)) })
}

// waitingMessage begins the log line of a process that waits for something it needs.
const waitingMessage = "waiting for "

// awaitWaiting waits until the process says that it waits for something.
func (i *incarnation) awaitWaiting() {
	i.m.t.Helper()
	i.await("it says what it waits for", func() bool {
		content, err := os.ReadFile(i.log)
		return err == nil && strings.Contains(string(content), waitingMessage)
	})
}

// signal sends a signal.
func (i *incarnation) signal(signal syscall.Signal) { _ = i.command.Process.Signal(signal) }

// requireEndsInOrder waits for the end of a process that was told to end.
func (i *incarnation) requireEndsInOrder() {
	i.m.t.Helper()
	select {
	case <-i.ended:
		require.Equal(i.m.t, 0, i.command.ProcessState.ExitCode(), i.ending())
	case <-time.After(lifecycleTimeout):
		require.Fail(i.m.t, "the process does not end", "%s, %v after SIGTERM", i.program, lifecycleTimeout)
	}
}

// answers reports whether there is an HTTP answer at an address.
func answers(address string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + address + "/v1/anything")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	return true
}

// hold listens at an address until the returned function is called.
func (m *machine) hold(address string) (release func()) {
	m.t.Helper()
	listener, err := net.Listen("tcp4", address)
	require.NoError(m.t, err, fmt.Sprint("hold ", address))
	return func() { _ = listener.Close() }
}

// accepts reports whether connections are taken at an address.
func accepts(address string) bool {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func setPipeSize(t *testing.T, pipe *os.File) {
	t.Helper()
	_, err := unix.FcntlInt(pipe.Fd(), unix.F_SETPIPE_SZ, smallestPipe)
	require.NoError(t, err)
}
