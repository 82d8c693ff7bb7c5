package simtest

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxReported is how many broken rules a failed scenario names.
const maxReported = 5

// Script runs one scenario file. It stops at the first line that does not hold.
type Script struct {
	sim         *Simulation
	background  sync.WaitGroup
	mu          sync.Mutex
	served      int
	failed      map[int]int
	operatorSet *operatorSet
}

// RunFile runs the scenario in a file; the caller has made a bubble of simulated time.
func RunFile(sim *Simulation, file string) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	s := &Script{sim: sim, failed: map[int]int{}}
	defer func() {
		s.background.Wait()
		sim.Close()
		time.Sleep(10 * time.Second) // what was killed ends in its own time
	}()
	for i, line := range strings.Split(string(b), "\n") {
		line, _, _ = strings.Cut(line, "#")
		f := strings.Fields(line)
		if len(f) == 0 {
			continue
		}
		if err := s.run(f[0], f[1:]); err != nil {
			return fmt.Errorf("%s:%d: %s: %w%s", file, i+1, strings.Join(f, " "), err, s.sim.violatedInvariants())
		}
	}
	s.background.Wait()
	sim.judgeScenario()
	return s.verdict(file)
}

// verdict is an error if rules were broken.
func (s *Script) verdict(file string) error {
	s.sim.mu.Lock()
	defer s.sim.mu.Unlock()
	if len(s.sim.violations) == 0 {
		return nil
	}
	var named []string
	for _, v := range s.sim.violations[:min(maxReported, len(s.sim.violations))] {
		named = append(named, v.String())
	}
	return fmt.Errorf("%s: %d broken rules: %s", file, len(s.sim.violations), strings.Join(named, "; "))
}

// command is one kind of line.
type command struct {
	run     func(*Script, args) error
	options string // the names that it takes as name=value
}

// commands are all kinds of lines by their names.
var commands = tableOf(controlCommands, fleetCommands, faultCommands, replicaCommands, orderCommands, loadCommands, expectCommands, tallyCommands)

func tableOf(parts ...map[string]command) map[string]command {
	all := map[string]command{}
	for _, p := range parts {
		maps.Copy(all, p)
	}
	return all
}

func (s *Script) run(cmd string, f []string) error {
	command, known := commands[cmd]
	if !known {
		return fmt.Errorf("unknown command")
	}
	a := parse(f)
	for option := range a.options {
		if !slices.Contains(strings.Fields(command.options), option) {
			return fmt.Errorf("unknown option %s", option)
		}
	}
	return command.run(s, a)
}

// args are what stands after a command: arguments in order, and options of the form name=value.
type args struct {
	arguments []string
	options   map[string]string
}

func parse(f []string) args {
	a := args{options: map[string]string{}}
	for _, x := range f {
		if k, v, ok := strings.Cut(x, "="); ok {
			a.options[k] = v
		} else {
			a.arguments = append(a.arguments, x)
		}
	}
	return a
}

// argument is the i-th argument, empty if there are fewer.
func (a args) argument(i int) string {
	if i < len(a.arguments) {
		return a.arguments[i]
	}
	return ""
}

func (a args) number(k string, def int) int {
	if n, err := strconv.Atoi(a.options[k]); err == nil {
		return n
	}
	return def
}

func (a args) duration(k string, def time.Duration) time.Duration {
	if d, err := time.ParseDuration(a.options[k]); err == nil {
		return d
	}
	return def
}

// list is a value with commas.
func (a args) list(k string) []string { return strings.Split(a.options[k], ",") }

// isExpected reports whether a status is among the expected ones; none means any.
func (a args) isExpected(status int) bool {
	e := a.options["expect"]
	return e == "" || strings.Contains(","+e+",", fmt.Sprintf(",%d,", status))
}

// checkStatus is an error for a status that is not among the expected ones.
func (a args) checkStatus(status int) error {
	if a.isExpected(status) {
		return nil
	}
	return fmt.Errorf("answer %d", status)
}

func numberOf(x string) int {
	n, _ := strconv.Atoi(x)
	return n
}

// pollUntil looks again and again until something holds, at most for a time; the error is the last reason.
func pollUntil(within, pause time.Duration, holds func() error) error {
	end := time.Now().Add(within)
	for {
		err := holds()
		var wrong wrongAnswerError
		if err == nil || errors.As(err, &wrong) || time.Now().After(end) {
			return err
		}
		time.Sleep(pause)
	}
}
