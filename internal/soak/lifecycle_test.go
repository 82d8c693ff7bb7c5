package soak

import (
	"flag"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var lifecycleHangups = flag.Int("lifecycle.hangups", 0, "starts for each millisecond from 0 to 30 at which SIGHUP is sent; 0: not measured")

// TestMeasure_HangupsThatEndAStart counts the starts that SIGHUP ends, by the time since the start of the process.
func TestMeasure_HangupsThatEndAStart(t *testing.T) {
	if *lifecycleHangups == 0 {
		t.Skip("with -lifecycle.hangups only: it measures, and the first moments of a process are not the program's")
	}
	const longest = 30
	eachProgram(t, func(t *testing.T, m *machine, program string) {
		var ended [longest + 1]int
		total := 0
		for delay := range longest + 1 {
			for range *lifecycleHangups {
				i := m.start(program)
				time.Sleep(time.Duration(delay) * time.Millisecond)
				i.signal(syscall.SIGHUP)
				select {
				case <-i.ended:
					require.Equal(t, syscall.SIGHUP, endingOf(i.command, i.started, 1, i.log).signal)
					ended[delay]++
					total++
				case <-time.After(100 * time.Millisecond):
					i.signal(syscall.SIGKILL)
					<-i.ended
				}
			}
		}
		t.Logf("%s: %d of %d starts ended; by milliseconds, of %d each: %v", program, total, (longest+1)**lifecycleHangups, *lifecycleHangups, ended)
	})
}

// eachProgram runs a test for both daemons.
func eachProgram(t *testing.T, test func(t *testing.T, m *machine, program string)) {
	for _, program := range []string{programController, programRouter} {
		t.Run(program, func(t *testing.T) {
			m := newMachine(t)
			m.writeSettings(program)
			test(t, m, program)
		})
	}
}

// TestStart_AddressHeldBySomebodyElse_ServesOnceItIsFree guards against an end by itself while a port is taken.
func TestStart_AddressHeldBySomebodyElse_ServesOnceItIsFree(t *testing.T) {
	eachProgram(t, func(t *testing.T, m *machine, program string) {
		for _, address := range m.ownAddresses(program) {
			t.Log(address)
			release := m.hold(address)
			i := m.start(program)
			i.awaitWaiting()
			release()
			i.awaitServing()
			i.await("it takes connections at "+address, func() bool { return accepts(address) })
			i.signal(syscall.SIGTERM)
			i.requireEndsInOrder()
		}
	})
}

// TestStart_IncarnationBeforeStillDrains_ServesOnceItHasEnded guards against both of two incarnations being gone.
func TestStart_IncarnationBeforeStillDrains_ServesOnceItHasEnded(t *testing.T) {
	eachProgram(t, func(_ *testing.T, m *machine, program string) {
		before := m.start(program)
		before.awaitServing()
		before.signal(syscall.SIGTERM)
		next := m.start(program)
		before.requireEndsInOrder()
		next.awaitServing()
		next.signal(syscall.SIGTERM)
		next.requireEndsInOrder()
	})
}

// TestStart_TerminatedWhileItWaitsForAnAddress_EndsInOrder guards against a wait that SIGTERM does not end.
func TestStart_TerminatedWhileItWaitsForAnAddress_EndsInOrder(t *testing.T) {
	eachProgram(t, func(_ *testing.T, m *machine, program string) {
		for _, address := range m.ownAddresses(program) {
			defer m.hold(address)()
		}
		i := m.start(program)
		i.awaitWaiting()
		i.signal(syscall.SIGTERM)
		i.requireEndsInOrder()
	})
}

// TestStart_SettingsStillBeingWritten_AreReadOnceWhole guards against an end by itself at a torn settings file.
func TestStart_SettingsStillBeingWritten_AreReadOnceWhole(t *testing.T) {
	eachProgram(t, func(t *testing.T, m *machine, program string) {
		whole := encoded(t, m.settings(program))
		require.NoError(t, os.WriteFile(m.settingsFile(program), whole[:len(whole)/3], 0o600))
		i := m.start(program)
		i.awaitWaiting()
		require.NoError(t, os.WriteFile(m.settingsFile(program), whole, 0o600))
		i.awaitServing()
	})
}

// TestStart_DiskFull_ServesOnceThereIsRoom guards against an end by itself at a disk that is full for a time.
func TestStart_DiskFull_ServesOnceThereIsRoom(t *testing.T) {
	m := newMachine(t)
	m.writeSettings(programController)
	setDisk := func(trouble string) {
		require.NoError(t, m.fleet.setDisk(&process{ip: m.ip}, trouble))
	}
	setDisk(diskFull)
	i := m.start(programController)
	i.awaitWaiting()
	setDisk("")
	i.awaitServing()
}

// TestStart_DataDirectoryInUse_IsNotOpenedByASecondProcess guards against two processes that write to one disk.
func TestStart_DataDirectoryInUse_IsNotOpenedByASecondProcess(t *testing.T) {
	m := newMachine(t)
	m.writeSettings(programController)
	first := m.start(programController)
	first.awaitServing()

	other := newMachine(t)
	s := other.settings(programController)
	s.DataDir = m.settings(programController).DataDir
	require.NoError(t, os.WriteFile(other.settingsFile(programController), encoded(t, s), 0o600))
	second := other.start(programController)
	second.awaitWaiting()
	require.False(t, answers(other.servingAddress(programController)))
	first.signal(syscall.SIGKILL)
	second.awaitServing()
}

// TestLog_ReaderGone_ProcessGoesOn guards against an end by SIGPIPE when the collector of the logs goes away.
func TestLog_ReaderGone_ProcessGoesOn(t *testing.T) {
	eachProgram(t, func(t *testing.T, m *machine, program string) {
		reader, writer, err := os.Pipe()
		require.NoError(t, err)
		i := m.startLogging(program, writer)
		require.NoError(t, writer.Close())
		i.awaitServing()
		require.NoError(t, reader.Close())
		for range 5 {
			i.signal(syscall.SIGHUP) // each is logged
			i.awaitServing()
			time.Sleep(lifecyclePoll)
		}
		i.requireRuns()
		i.signal(syscall.SIGTERM)
		i.requireEndsInOrder()
	})
}

// TestLog_ReaderStuck_ProcessAnswersAndEndsInOrder guards against goroutines that stand still behind a full pipe.
func TestLog_ReaderStuck_ProcessAnswersAndEndsInOrder(t *testing.T) {
	eachProgram(t, func(t *testing.T, m *machine, program string) {
		reader, writer, err := os.Pipe()
		require.NoError(t, err)
		defer func() { _ = reader.Close() }()
		setPipeSize(t, writer)
		i := m.startLogging(program, writer)
		require.NoError(t, writer.Close())
		i.awaitServing()
		for range 100 { // some 100 bytes are logged for each
			i.signal(syscall.SIGHUP)
			time.Sleep(lifecyclePoll)
		}
		i.awaitServing()
		i.signal(syscall.SIGTERM)
		i.requireEndsInOrder()
	})
}

// TestStart_MetricsPortHeld_IsServedOnceItIsFree guards against metrics that are missing for the whole life of a process.
func TestStart_MetricsPortHeld_IsServedOnceItIsFree(t *testing.T) {
	eachProgram(t, func(t *testing.T, m *machine, program string) {
		const metricsPort = portLastInternal + 1
		s := m.settings(program)
		s.MetricsPort = metricsPort
		require.NoError(t, os.MkdirAll(s.DataDir, 0o700))
		require.NoError(t, os.WriteFile(m.settingsFile(program), encoded(t, s), 0o600))
		release := m.hold(address(m.ip, metricsPort))
		i := m.start(program)
		i.awaitServing()
		release()
		i.await("metrics are served", func() bool { return answers(address(m.ip, metricsPort)) })
	})
}

// TestStart_SettingsStayWrong_EndsWithAnError keeps the usual end at settings that nobody mends.
func TestStart_SettingsStayWrong_EndsWithAnError(t *testing.T) {
	eachProgram(t, func(t *testing.T, m *machine, program string) {
		s := m.settings(program)
		s.Ports = []int{1}
		require.NoError(t, os.WriteFile(m.settingsFile(program), encoded(t, s), 0o600))
		i := m.start(program)
		select {
		case <-i.ended:
		case <-time.After(lifecycleTimeout):
			require.Fail(t, "the process does not end")
		}
		require.Equal(t, 1, i.command.ProcessState.ExitCode())
		require.Contains(t, lastLine(i.log), "internal_port_range")
	})
}
