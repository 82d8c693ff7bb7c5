package emulator

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"runtime"
	"runtime/debug"
	"sync"

	"golang.org/x/sys/unix"

	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/task"
)

// A cell is a process that holds daemons of one role, so that their processor time and memory can be told apart from those of others. It is told what to do, and answers, in JSON lines.

// seat names a daemon of a cell.
type seat struct {
	Name string `json:"name"`
	File string `json:"file"`
	Zone string `json:"zone"`
}

// word is one line to a cell.
type word struct {
	Do      string            `json:"do"` // start, stop or read
	Seats   []seat            `json:"seats,omitempty"`
	Zones   map[string]string `json:"zones,omitempty"` // by address
	DelayMs float64           `json:"delay_ms,omitempty"`
}

// reading is a cell's answer.
type reading struct {
	Err     string           `json:"err,omitempty"`
	Cpu     float64          `json:"cpu_s"`       // up to the word
	CpuNext float64          `json:"cpu_next_s"`  // after the collection that the reading needed
	Heap    float64          `json:"heap_bytes"`  // live objects
	Stacks  float64          `json:"stack_bytes"` // of goroutines
	Tasks   int              `json:"goroutines"`
	In      map[string]int64 `json:"in"` // bytes, by daemon
	Out     map[string]int64 `json:"out"`
	at      clock.Moment
}

func cpuNow() float64 {
	var u unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &u)
	return float64(u.Utime.Sec+u.Stime.Sec) + float64(u.Utime.Usec+u.Stime.Usec)/1e6
}

// Cell serves as a cell until its input ends.
func Cell(sc *task.Scope, in io.Reader, out io.Writer) error {
	sc = sc.Part("cell")
	ds := map[string]*daemon{}
	defer func() {
		var wg sync.WaitGroup
		for _, d := range ds {
			wg.Add(1)
			go func() { defer wg.Done(); d.stop() }()
		}
		wg.Wait()
		sc.Stop()
	}()
	r := bufio.NewReader(in)
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			return nil // whoever holds the cell has ended or wants it to
		}
		var w word
		a := reading{}
		if err := json.Unmarshal(line, &w); err != nil {
			a.Err = err.Error()
		} else if err := obey(sc, ds, &w); err != nil {
			a.Err = err.Error()
		} else if w.Do == "read" {
			a.fill(ds)
		}
		b, err := json.Marshal(a)
		if err != nil {
			return errkind.Wrap(errkind.Internal, err, "cell")
		}
		if _, err := out.Write(append(b, '\n')); err != nil {
			return errkind.Wrap(errkind.Internal, err, "cell")
		}
	}
}

func obey(sc *task.Scope, ds map[string]*daemon, w *word) error {
	for _, s := range w.Seats {
		switch w.Do {
		case "start":
			d := &daemon{name: s.Name, file: s.File, zone: s.Zone}
			if err := d.start(sc, &wire{zone: s.Zone, zoneOf: func(ip string) string { return w.Zones[ip] }, delay: clock.Millis(w.DelayMs)}); err != nil {
				return err
			}
			ds[s.Name] = d
		case "stop":
			if d := ds[s.Name]; d != nil {
				d.stop()
				delete(ds, s.Name)
			}
		}
	}
	return nil
}

func (a *reading) fill(ds map[string]*daemon) {
	a.Cpu = cpuNow()
	a.In, a.Out = map[string]int64{}, map[string]int64{}
	for n, d := range ds {
		a.In[n], a.Out[n] = d.wire.in.Load(), d.wire.out.Load()
	}
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	a.Heap, a.Stacks, a.Tasks = float64(m.HeapAlloc), float64(m.StackInuse), runtime.NumGoroutine()
	a.CpuNext = cpuNow()
}

// cell is the holder's side.
type cell struct {
	to   io.WriteCloser
	from *bufio.Reader
	wait func() error
}

// spawn starts a cell in a process of its own: this program again.
func spawn() (*cell, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "cell")
	}
	c := exec.Command(self, "cell")
	c.Stderr = os.Stderr
	to, err := c.StdinPipe()
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "cell")
	}
	from, err := c.StdoutPipe()
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "cell")
	}
	if err := c.Start(); err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "cell")
	}
	return &cell{to, bufio.NewReaderSize(from, constants.YardLine), c.Wait}, nil
}

// inside starts a cell in this process, for tests.
func inside(sc *task.Scope) (*cell, error) {
	inR, inW := io.Pipe()
	outR, outW := io.Pipe()
	done := make(chan error, 1)
	go func() { done <- Cell(sc, inR, outW) }()
	return &cell{inW, bufio.NewReaderSize(outR, constants.YardLine), func() error { return <-done }}, nil
}

func (c *cell) say(w word) (reading, error) {
	var a reading
	b, err := json.Marshal(w)
	if err != nil {
		return a, errkind.Wrap(errkind.Internal, err, "cell")
	}
	if _, err := c.to.Write(append(b, '\n')); err != nil {
		return a, errkind.Wrap(errkind.Internal, err, "cell")
	}
	line, err := c.from.ReadBytes('\n')
	if err != nil {
		return a, errkind.Wrap(errkind.Internal, err, "cell")
	}
	if err := json.Unmarshal(line, &a); err != nil {
		return a, errkind.Wrap(errkind.Internal, err, "cell")
	}
	if a.Err != "" {
		return a, errkind.New(errkind.Internal, "cell: %s", a.Err)
	}
	a.at = clock.Now()
	return a, nil
}

func (c *cell) close() {
	_ = c.to.Close()
	_ = c.wait()
}
