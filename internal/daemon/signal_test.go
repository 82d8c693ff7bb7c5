package daemon

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/settings"
)

const (
	// helperVariable makes the test binary run a program in place of its tests.
	helperVariable = "SHALETRESTLE_SIGNAL_HELPER"
	// helperBuildTime is how long that program takes to be built, as one that reads a large disk.
	helperBuildTime = 300 * time.Millisecond
	helperBuilding  = "building"
	helperRunning   = "running"
)

// endlessDaemon runs until its context ends.
type endlessDaemon struct{ ctx context.Context }

func (d *endlessDaemon) Run() error {
	fmt.Println(helperRunning)
	<-d.ctx.Done()
	return nil
}
func (*endlessDaemon) Shutdown()                 {}
func (*endlessDaemon) Reload(*settings.Settings) {}

// ignoredAtFirst is whether SIGHUP was ignored when this package was initialised.
var ignoredAtFirst = signal.Ignored(syscall.SIGHUP)

func TestMain(m *testing.M) {
	if os.Getenv(helperVariable) == "" {
		os.Exit(m.Run())
	}
	os.Args = os.Args[:1]
	Main(Program{Name: "helper", Roles: settings.Roles{Frontend: true}, Build: func(ctx context.Context, _ *slog.Logger, _ *settings.Settings) (Daemon, error) {
		fmt.Println(helperBuilding)
		time.Sleep(helperBuildTime)
		return &endlessDaemon{ctx}, nil
	}})
}

// startHelper starts the program; awaitLine waits for a line of its output, and fails if it ends before.
func startHelper(t *testing.T) (process *exec.Cmd, awaitLine func(want string)) {
	t.Helper()
	executable, err := os.Executable()
	require.NoError(t, err)
	process = exec.Command(executable)
	process.Env = append(os.Environ(), helperVariable+"=1", FileVariable+"="+exampleFile(t))
	output, err := process.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, process.Start())
	t.Cleanup(func() { _ = process.Process.Kill() })
	lines := bufio.NewScanner(output)
	return process, func(want string) {
		t.Helper()
		require.True(t, lines.Scan(), "the process ended before %q", want)
		require.Equal(t, want, lines.Text())
	}
}

// TestMain_HangupBeforeItsCodeRuns_IsIgnored guards against an end by SIGHUP while the packages of a program are initialised.
func TestMain_HangupBeforeItsCodeRuns_IsIgnored(t *testing.T) {
	require.True(t, ignoredAtFirst)
}

// TestMain_HangupWhileItStarts_IsNoEnd sends SIGHUP, whose default is to end a process, before the daemon runs.
func TestMain_HangupWhileItStarts_IsNoEnd(t *testing.T) {
	process, awaitLine := startHelper(t)
	awaitLine(helperBuilding)
	require.NoError(t, process.Process.Signal(syscall.SIGHUP))
	awaitLine(helperRunning)
	require.NoError(t, process.Process.Signal(syscall.SIGTERM))
	require.NoError(t, process.Wait(), "it ends in order")
}

// TestMain_TerminatedWhileItStarts_EndsInOrder sends SIGTERM before the daemon runs: it ends as soon as it does.
func TestMain_TerminatedWhileItStarts_EndsInOrder(t *testing.T) {
	process, awaitLine := startHelper(t)
	awaitLine(helperBuilding)
	require.NoError(t, process.Process.Signal(syscall.SIGTERM))
	require.NoError(t, process.Wait())
}
