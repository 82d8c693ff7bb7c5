package emulator

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"sync"
	"time"

	"shaletrestle/internal/durations"
	"shaletrestle/internal/errkind"
)

// maxCellLineBytes is the longest answer of a cell that is read.
const maxCellLineBytes = 1 << 20

// A cell is a process that holds daemons of one role, so that their processor time
// and memory can be told apart from those of others. It gets commands, and
// answers, in JSON lines.

// The commands to a cell.
const (
	commandStart = "start"
	commandStop  = "stop"
	commandRead  = "read"
)

// daemonSpec names a daemon of a cell.
type daemonSpec struct {
	Name string `json:"name"`
	File string `json:"file"` // of the settings
	Zone string `json:"zone"`
}

// command is one line to a cell.
type command struct {
	Do      string            `json:"do"`
	Daemons []daemonSpec      `json:"seats,omitempty"`
	Zones   map[string]string `json:"zones,omitempty"` // by address
	DelayMs float64           `json:"delay_ms,omitempty"`
}

// Cell serves as a cell until its input ends.
func Cell(ctx context.Context, log *slog.Logger, in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	server := &cellServer{ctx: ctx, cancel: cancel, log: log.With("part", "cell"), daemons: map[string]*daemon{}}
	defer server.close()
	lines := bufio.NewReader(in)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return nil // the process that started the cell has ended or wants it to
		}
		answer, err := json.Marshal(server.answer(line))
		if err != nil {
			return cellError(err)
		}
		if _, err := out.Write(append(answer, '\n')); err != nil {
			return cellError(err)
		}
	}
}

func cellError(err error) error { return errkind.Wrap(errkind.Internal, err, "cell") }

// cellServer is the cell's side.
type cellServer struct {
	ctx     context.Context
	cancel  context.CancelFunc
	log     *slog.Logger
	daemons map[string]*daemon // by name
}

// answer carries out a command.
func (s *cellServer) answer(line []byte) usage {
	var received command
	if err := json.Unmarshal(line, &received); err != nil {
		return usage{Err: err.Error()}
	}
	switch received.Do {
	case commandStart:
		if err := s.start(&received); err != nil {
			return usage{Err: err.Error()}
		}
	case commandStop:
		s.stop(&received)
	case commandRead:
		return readUsage(s.daemons)
	}
	return usage{}
}

func (s *cellServer) start(received *command) error {
	for _, spec := range received.Daemons {
		started := &daemon{name: spec.Name, file: spec.File, zone: spec.Zone}
		network := &network{
			zone:   spec.Zone,
			zoneOf: func(ip string) string { return received.Zones[ip] },
			delay:  durations.FromMilliseconds(received.DelayMs),
		}
		if err := started.start(s.ctx, s.log, network); err != nil {
			return err
		}
		s.daemons[spec.Name] = started
	}
	return nil
}

func (s *cellServer) stop(received *command) {
	for _, spec := range received.Daemons {
		if daemon := s.daemons[spec.Name]; daemon != nil {
			daemon.stop()
			delete(s.daemons, spec.Name)
		}
	}
}

// close ends all daemons.
func (s *cellServer) close() {
	var stopping sync.WaitGroup
	for _, daemon := range s.daemons {
		stopping.Go(daemon.stop)
	}
	stopping.Wait()
	s.cancel()
}

// cell is the side of the process that started it.
type cell struct {
	commands io.WriteCloser
	answers  *bufio.Reader
	wait     func() error // for the cell's end
}

// newCell starts a cell.
type newCell func() (*cell, error)

// spawnCell starts a cell in a process of its own: this program again.
func spawnCell() (*cell, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, cellError(err)
	}
	process := exec.Command(program, "cell")
	process.Stderr = os.Stderr
	commands, err := process.StdinPipe()
	if err != nil {
		return nil, cellError(err)
	}
	answers, err := process.StdoutPipe()
	if err != nil {
		return nil, cellError(err)
	}
	if err := process.Start(); err != nil {
		return nil, cellError(err)
	}
	return &cell{
		commands: commands,
		answers:  bufio.NewReaderSize(answers, maxCellLineBytes),
		wait:     process.Wait,
	}, nil
}

// startCellHere starts a cell in this process, for tests.
func startCellHere(ctx context.Context, log *slog.Logger) (*cell, error) {
	commandReader, commandWriter := io.Pipe()
	answerReader, answerWriter := io.Pipe()
	done := make(chan error, 1)
	go func() { done <- Cell(ctx, log, commandReader, answerWriter) }()
	return &cell{
		commands: commandWriter,
		answers:  bufio.NewReaderSize(answerReader, maxCellLineBytes),
		wait:     func() error { return <-done },
	}, nil
}

// do sends a command and waits for its answer.
func (c *cell) do(sent command) (usage, error) {
	encoded, err := json.Marshal(sent)
	if err != nil {
		return usage{}, cellError(err)
	}
	if _, err := c.commands.Write(append(encoded, '\n')); err != nil {
		return usage{}, cellError(err)
	}
	line, err := c.answers.ReadBytes('\n')
	if err != nil {
		return usage{}, cellError(err)
	}
	var answer usage
	if err := json.Unmarshal(line, &answer); err != nil {
		return usage{}, cellError(err)
	}
	if answer.Err != "" {
		return usage{}, errkind.New(errkind.Internal, "cell: %s", answer.Err)
	}
	answer.at = time.Now()
	return answer, nil
}

// read measures what the cell's daemons use.
func (c *cell) read() (usage, error) { return c.do(command{Do: commandRead}) }

func (c *cell) close() {
	_ = c.commands.Close()
	_ = c.wait()
}

// usage is a cell's answer: what its daemons use.
type usage struct {
	Err      string           `json:"err,omitempty"`
	CPU      float64          `json:"cpu_s"`       // up to the command
	CPUAfter float64          `json:"cpu_next_s"`  // after the garbage collection that the reading needed
	Heap     float64          `json:"heap_bytes"`  // live objects
	Stacks   float64          `json:"stack_bytes"` // of goroutines
	Tasks    int              `json:"goroutines"`
	In       map[string]int64 `json:"in"` // bytes, by daemon
	Out      map[string]int64 `json:"out"`
	at       time.Time        // of the answer
}
