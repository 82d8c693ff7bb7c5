package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is one daemon of a run: a real process, started again and again.
type process struct {
	name    string
	program string
	ip      string
	zone    string
	dir     string // of its settings, data and logs
	binary  string
	faults  string // the file of the injected faults

	mu          sync.Mutex // guards the fields below
	command     *exec.Cmd  // nil: it does not run
	ended       chan struct{}
	expected    bool // its end was asked for
	incarnation int
	startedAt   time.Time
	peakMiB     float64   // resident memory of the largest incarnation that has ended
	disturbed   time.Time // until when it counts as disturbed
	busy        bool      // a fault that is to end by itself is on it
}

func (p *process) dataDir() string      { return filepath.Join(p.dir, "data") }
func (p *process) settingsFile() string { return filepath.Join(p.dir, "node.yaml") }

// start runs the process. An end that nobody asked for is reported.
func (p *process) start(unexpected func(*process, ending)) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.incarnation++
	log, err := os.OpenFile(filepath.Join(p.dir, fmt.Sprintf("log-%03d.txt", p.incarnation)), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(p.binary)
	command.Env = append(os.Environ(), "SHALETRESTLE_NODE_FILE="+p.settingsFile(), "SOAK_FAULTS="+p.faults, "SOAK_ADDRESS="+p.ip)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.command, p.ended, p.expected, p.startedAt = command, ended, false, time.Now()
	incarnation, startedAt := p.incarnation, p.startedAt
	go func() {
		_ = command.Wait() // how it ended stands in ProcessState
		end := endingOf(command, startedAt, incarnation, log)
		_ = log.Close()
		p.mu.Lock()
		expected := p.expected
		p.peakMiB = max(p.peakMiB, end.peakMiB)
		if p.command == command {
			p.command = nil
		}
		p.mu.Unlock()
		close(ended)
		if !expected || end.code > 0 { // after SIGTERM too, an exit status other than 0 is a failure
			unexpected(p, end)
		}
	}()
	return nil
}

// peakMemory is the largest resident memory of all incarnations so far, in MiB.
func (p *process) peakMemory() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return p.peakMiB
	}
	return max(p.peakMiB, residentPeakMiB(p.command.Process.Pid))
}

// life numbers the incarnation that runs now; 0: none does.
func (p *process) life() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.incarnation
}

// upFor is how long the present incarnation has been running.
func (p *process) upFor() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.startedAt)
}

// signal sends a signal, and remembers that an end is asked for by it if it is one that ends.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		p.expected = true
	}
	_ = p.command.Process.Signal(signal)
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	ended, running := p.ended, p.command != nil
	p.mu.Unlock()
	if !running {
		return
	}
	p.signal(syscall.SIGKILL)
	<-ended
}

// terminate asks the process to end, and kills it after the grace. It reports whether it ended by itself.
func (p *process) terminate(grace time.Duration) bool {
	p.mu.Lock()
	ended, running := p.ended, p.command != nil
	p.mu.Unlock()
	if !running {
		return true
	}
	p.signal(syscall.SIGTERM)
	select {
	case <-ended:
		return true
	case <-time.After(grace):
		p.kill()
		return false
	}
}

// disturb marks the process as disturbed for a time from now.
func (p *process) disturb(duration time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until := time.Now().Add(duration); until.After(p.disturbed) {
		p.disturbed = until
	}
}

// undisturbedSince reports whether no fault has been on the process since a moment, aftermath included.
func (p *process) undisturbedSince(moment time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil && p.disturbed.Before(moment) && p.startedAt.Before(moment) && !p.busy
}

// claim takes the process for a fault that ends by itself; false if another one has it.
func (p *process) claim() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy {
		return false
	}
	p.busy = true
	return true
}

// release ends a claim; the aftermath of the fault counts as disturbance.
func (p *process) release() {
	p.mu.Lock()
	p.busy = false
	p.mu.Unlock()
	p.disturb(aftermath)
}

// aftermath is how long a process counts as disturbed after a fault: contact_ms and a little.
const aftermath = 4 * time.Second
