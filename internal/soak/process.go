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

	mu          sync.Mutex    // guards the fields below, and those of its lives
	current     *life         // the newest incarnation; nil: it does not run
	incarnation int           // number of the newest incarnation
	peakMiB     float64       // resident memory of the largest incarnation that has ended
	slowestEnd  time.Duration // from the end of an incarnation to the end of the reading of its log
	disturbed   time.Time     // until when it counts as disturbed
	busy        bool          // a fault that is to end by itself is on it
}

// life is one incarnation of a process.
type life struct {
	number    int
	command   *exec.Cmd
	log       *logFile
	startedAt time.Time
	exited    chan struct{} // closed when the system has reported the end
	ended     chan struct{} // closed after that, when the log has been read too
	expected  bool          // its end was asked for
}

func (p *process) dataDir() string      { return filepath.Join(p.dir, "data") }
func (p *process) settingsFile() string { return filepath.Join(p.dir, "node.yaml") }

// start runs a new incarnation; one that still runs is no longer the current one. An end that nobody asked for is reported.
func (p *process) start(kind logKind, unexpected func(*process, ending)) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.incarnation++
	log, err := openLog(filepath.Join(p.dir, fmt.Sprintf("log-%03d.txt", p.incarnation)), kind)
	if err != nil {
		return err
	}
	command := exec.Command(p.binary)
	command.Env = append(os.Environ(), "SHALETRESTLE_NODE_FILE="+p.settingsFile(), "SOAK_FAULTS="+p.faults, "SOAK_ADDRESS="+p.ip)
	command.Stdout, command.Stderr = log.output, log.output
	if err := command.Start(); err != nil {
		return err
	}
	log.started()
	started := &life{number: p.incarnation, command: command, log: log, startedAt: time.Now(), exited: make(chan struct{}), ended: make(chan struct{})}
	p.current = started
	go p.await(started, unexpected)
	return nil
}

// await waits for the end of an incarnation.
func (p *process) await(l *life, unexpected func(*process, ending)) {
	_ = l.command.Wait() // how it ended stands in ProcessState
	exitedAt := time.Now()
	close(l.exited)
	l.log.close()
	end := endingOf(l.command, l.startedAt, l.number, l.log.name)
	p.mu.Lock()
	expected := l.expected
	p.peakMiB = max(p.peakMiB, end.peakMiB)
	if p.current == l {
		p.current = nil
	}
	p.mu.Unlock()
	p.mu.Lock()
	p.slowestEnd = max(p.slowestEnd, time.Since(exitedAt))
	p.mu.Unlock()
	close(l.ended)
	if !expected || end.code > 0 { // after SIGTERM too, an exit status other than 0 is a failure
		unexpected(p, end)
	}
}

// slowestLogRead is the longest time between the end of an incarnation and the end of the reading of its log.
func (p *process) slowestLogRead() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slowestEnd
}

// running is the current incarnation; nil: none runs.
func (p *process) running() *life {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// peakMemory is the largest resident memory of all incarnations so far, in MiB.
func (p *process) peakMemory() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		return p.peakMiB
	}
	return max(p.peakMiB, residentPeakMiB(p.current.command.Process.Pid))
}

// life numbers the incarnation that runs now; 0: none does.
func (p *process) life() int {
	if current := p.running(); current != nil {
		return current.number
	}
	return 0
}

// signal sends the current incarnation a signal, and remembers that an end is asked for by it if it is one that ends.
func (p *process) signal(signal syscall.Signal) {
	if current := p.running(); current != nil {
		p.signalLife(current, signal)
	}
}

func (p *process) signalLife(l *life, signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		l.expected = true
	}
	_ = l.command.Process.Signal(signal)
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	if current := p.running(); current != nil {
		p.signalLife(current, syscall.SIGKILL)
		<-current.ended
	}
}

// terminate asks the process to end, and kills it after the grace. It reports whether it ended by itself.
func (p *process) terminate(grace time.Duration) bool {
	current := p.running()
	if current == nil {
		return true
	}
	p.signalLife(current, syscall.SIGTERM)
	return p.awaitEnd(current, grace)
}

// awaitEnd waits for the end of an incarnation that was asked to end, and kills it after the grace. It reports whether it
// ended by itself.
func (p *process) awaitEnd(l *life, grace time.Duration) bool {
	select {
	case <-l.exited:
		<-l.ended
		return true
	case <-time.After(grace):
		p.signalLife(l, syscall.SIGKILL)
		<-l.ended
		return false
	}
}

// awaitHangupHandled waits until SIGHUP does not end the current incarnation by default any more: before its first
// constructor has run no program can do anything about that (docs/soak.md).
func (p *process) awaitHangupHandled() {
	for current := p.running(); current != nil && current == p.running(); time.Sleep(time.Millisecond) {
		if hangupHandled(current.command.Process.Pid) {
			return
		}
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
	return p.current != nil && p.disturbed.Before(moment) && p.current.startedAt.Before(moment) && !p.busy
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
