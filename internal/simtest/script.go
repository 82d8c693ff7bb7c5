package simtest

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// mostReported is how many broken rules a failed scenario names.
const mostReported = 5

// Script runs one scenario file. It stops at the first line that does not hold.
type Script struct {
	w    *World
	bg   sync.WaitGroup
	mu   sync.Mutex
	good int
	bad  map[int]int
	ops  *operators
}

// RunFile runs the scenario in a file; the caller has made a bubble of simulated time.
func RunFile(w *World, file string) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	s := &Script{w: w, bad: map[int]int{}}
	defer func() {
		s.bg.Wait()
		w.End()
		time.Sleep(10 * time.Second) // what was killed ends in its own time
	}()
	for i, line := range strings.Split(string(b), "\n") {
		line, _, _ = strings.Cut(line, "#")
		f := strings.Fields(line)
		if len(f) == 0 {
			continue
		}
		if err := s.line(f[0], f[1:]); err != nil {
			return fmt.Errorf("%s:%d: %s: %w", file, i+1, strings.Join(f, " "), err)
		}
	}
	s.bg.Wait()
	w.judgeDay()
	return s.verdict(file)
}

// verdict is an error if rules were broken.
func (s *Script) verdict(file string) error {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	if len(s.w.broken) == 0 {
		return nil
	}
	var named []string
	for _, v := range s.w.broken[:min(mostReported, len(s.w.broken))] {
		named = append(named, v.String())
	}
	return fmt.Errorf("%s: %d broken rules: %s", file, len(s.w.broken), strings.Join(named, "; "))
}

// command carries out one kind of line.
type command func(*Script, args) error

// commands are all kinds of lines by their first word.
var commands = tableOf(controlCommands, fleetCommands, troubleCommands, replicaCommands, orderCommands, loadCommands, expectCommands)

func tableOf(parts ...map[string]command) map[string]command {
	all := map[string]command{}
	for _, p := range parts {
		maps.Copy(all, p)
	}
	return all
}

func (s *Script) line(cmd string, f []string) error {
	run := commands[cmd]
	if run == nil {
		return fmt.Errorf("unknown line")
	}
	return run(s, parse(f))
}

// args are the words of a line after the first: plain ones in order, and those of the form key=value.
type args struct {
	pos []string
	kv  map[string]string
}

func parse(f []string) args {
	a := args{kv: map[string]string{}}
	for _, x := range f {
		if k, v, ok := strings.Cut(x, "="); ok {
			a.kv[k] = v
		} else {
			a.pos = append(a.pos, x)
		}
	}
	return a
}

// at is a plain word, empty if there are fewer.
func (a args) at(i int) string {
	if i < len(a.pos) {
		return a.pos[i]
	}
	return ""
}

func (a args) num(k string, def int) int {
	if n, err := strconv.Atoi(a.kv[k]); err == nil {
		return n
	}
	return def
}

func (a args) span(k string, def time.Duration) time.Duration {
	if d, err := time.ParseDuration(a.kv[k]); err == nil {
		return d
	}
	return def
}

// list is a value with commas.
func (a args) list(k string) []string { return strings.Split(a.kv[k], ",") }

// allows tells whether a status is among the expected ones; none means any.
func (a args) allows(status int) bool {
	e := a.kv["expect"]
	return e == "" || strings.Contains(","+e+",", fmt.Sprintf(",%d,", status))
}

// expected is an error for a status that is not among the expected ones.
func (a args) expected(status int) error {
	if a.allows(status) {
		return nil
	}
	return fmt.Errorf("answer %d", status)
}

func mustInt(x string) int {
	n, _ := strconv.Atoi(x)
	return n
}

// until looks again and again until something holds, at most for a time; the error is the last reason.
func until(within, pause time.Duration, holds func() error) error {
	end := time.Now().Add(within)
	for {
		err := holds()
		var wrong wrongAnswer
		if err == nil || errors.As(err, &wrong) || time.Now().After(end) {
			return err
		}
		time.Sleep(pause)
	}
}
