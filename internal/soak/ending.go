package soak

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// lastWordsBytes is how much of the end of a log is searched for its last line.
	lastWordsBytes = 4 << 10
	kibPerMiB      = 1 << 10
)

// ending is how an incarnation of a process ended.
type ending struct {
	incarnation int
	after       time.Duration  // since its start
	signal      syscall.Signal // that ended it; 0: none
	code        int            // its exit status, if no signal ended it
	peakMiB     float64        // its largest resident memory
	lastWords   string         // the last line of its log
}

// String gives the ending as it is reported.
func (e ending) String() string {
	how := fmt.Sprintf("exit status %d", e.code)
	if e.signal != 0 {
		how = fmt.Sprintf("signal %d (%v)", e.signal, e.signal)
	}
	return fmt.Sprintf("incarnation %d, %s, %.3f s after its start, %.0f MiB resident at most; last words: %s",
		e.incarnation, how, e.after.Seconds(), e.peakMiB, e.lastWords)
}

// endingOf reads how a command ended, after Wait. The log is a file.
func endingOf(command *exec.Cmd, startedAt time.Time, incarnation int, log string) ending {
	e := ending{incarnation: incarnation, after: time.Since(startedAt), code: command.ProcessState.ExitCode(), lastWords: lastLine(log)}
	if status, ok := command.ProcessState.Sys().(syscall.WaitStatus); ok && status.Signaled() {
		e.signal = status.Signal()
	}
	if usage, ok := command.ProcessState.SysUsage().(*syscall.Rusage); ok {
		e.peakMiB = float64(usage.Maxrss) / kibPerMiB
	}
	return e
}

// lastLine is the last line of a file; empty if there is none.
func lastLine(name string) string {
	file, err := os.Open(name)
	if err != nil {
		return ""
	}
	defer func() { _ = file.Close() }()
	if info, err := file.Stat(); err == nil && info.Size() > lastWordsBytes {
		_, _ = file.Seek(-lastWordsBytes, io.SeekEnd)
	}
	content, _ := io.ReadAll(file)
	content = bytes.TrimRight(content, "\n")
	return string(content[bytes.LastIndexByte(content, '\n')+1:])
}

// residentPeakMiB is the largest resident memory that a running process has had; 0 if it can't be read.
func residentPeakMiB(pid int) float64 {
	kibibytes, _ := strconv.ParseFloat(statusField(pid, "VmHWM"), 64)
	return kibibytes / kibPerMiB
}

// hangupHandled reports whether a process ignores or catches SIGHUP.
func hangupHandled(pid int) bool {
	const hangupBit = 1 << (syscall.SIGHUP - 1)
	for _, mask := range []string{"SigIgn", "SigCgt"} {
		signals, err := strconv.ParseUint(statusField(pid, mask), 16, 64)
		if err == nil && signals&hangupBit != 0 {
			return true
		}
	}
	return false
}

// statusField is the first word of a field of /proc/PID/status; empty if it can't be read.
func statusField(pid int, name string) string {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(status)) {
		words := strings.Fields(line)
		if len(words) > 1 && words[0] == name+":" {
			return words[1]
		}
	}
	return ""
}
