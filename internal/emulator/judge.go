package emulator

import (
	"fmt"
	"sync"
)

// ticket is what the judge knows of one try of a client.
type ticket struct {
	once  bool
	want  string
	runs  int
	seals map[string]bool
}

// judge holds what replicas and clients see against the rules.
type judge struct {
	mu     sync.Mutex
	known  map[string]*ticket
	broken []string
	count  int
}

const brokenKept = 20

func newJudge() *judge { return &judge{known: map[string]*ticket{}} }

func (j *judge) broke(rule, format string, a ...any) {
	if j.count++; len(j.broken) < brokenKept {
		j.broken = append(j.broken, rule+": "+fmt.Sprintf(format, a...))
	}
}

// sends notes a try before it leaves the client.
func (j *judge) sends(id string, once bool, want string) {
	j.mu.Lock()
	j.known[id] = &ticket{once: once, want: want, seals: map[string]bool{}}
	j.mu.Unlock()
}

// arrives notes a try that reached the replica that it was meant for.
func (j *judge) arrives(id, got string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch t := j.known[id]; {
	case t == nil:
		j.broke("UNASKED", "nobody sent %q", id)
	case t.want != got:
		j.broke("UNASKED", "%s came changed", id)
	}
}

// runs notes that a replica began to work on a try, and the seal of its answer.
func (j *judge) runs(id, seal string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.known[id]
	if t == nil {
		return
	}
	t.runs++
	t.seals[seal] = true
	if t.once && t.runs > 1 {
		j.broke("TWICE", "%s ran %d times", id, t.runs)
	}
}

// success holds a 2xx against what replicas answered.
func (j *judge) success(id, seal string, whole bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if t := j.known[id]; t == nil || !t.seals[seal] || !whole {
		j.broke("MIXED", "%s got an answer that no replica gave", id)
	}
}

// refused notes a promise that a try did not run.
func (j *judge) refused(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if t := j.known[id]; t != nil && t.once && t.runs > 0 {
		j.broke("REFUSED", "%s was refused and ran", id)
	}
}

// rules gives how many rules were broken and the first of them.
func (j *judge) rules() (int, []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.count, append([]string{}, j.broken...)
}
