package handoff

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var townBounds = Bounds{AnswerTimeout: 20, AcceptTimeout: 30, RenewInterval: 15, Lease: 50, Tombstones: 4}

// townRun is one run of a job, as the judge sees it.
type townRun struct {
	ticket Ticket
	open   bool
	ran    bool
	parts  uint64
	length uint64
}

type townJob struct {
	again     bool
	deadline  time.Duration
	owner     int
	life      uint64
	number    uint64
	held      bool
	turns     int
	runs      []*townRun
	outcome   Outcome
	gone      bool // its owner died, its client saw the connection end
	from      Ticket
	delivered uint64
}

type townNode struct {
	life   uint64
	owner  *Owner
	taker  *Taker
	frozen bool
	jobs   map[uint64]*townJob
}

type townMail struct {
	at, to int
	m      Message
}

// town is many nodes and jobs under one random schedule.
type town struct {
	t     *testing.T
	r     *rand.Rand
	now   int
	lives uint64
	nodes []*townNode
	mail  []townMail
	jobs  []*townJob
	runs  map[Ticket]*townRun
}

func (w *town) born(i int) {
	w.lives++
	n := &townNode{life: w.lives, owner: NewOwner(w.lives, townBounds), taker: NewTaker(w.lives, townBounds), jobs: map[uint64]*townJob{}}
	n.taker.SetCapacity(2)
	w.nodes[i] = n
}

func (w *town) begin(j *townJob, t Ticket) *townRun {
	for _, r := range j.runs {
		require.True(w.t, j.again || !r.open && !r.ran, "a second run")
	}
	require.NotEqual(w.t, Rejected, j.outcome, "a run after the promise")
	r := &townRun{ticket: t, open: true, length: uint64(w.r.IntN(4))}
	j.runs = append(j.runs, r)
	return r
}

func (w *town) end(j *townJob, as Outcome) {
	require.Zero(w.t, j.outcome, "two final answers")
	j.outcome = as
	if as == Rejected {
		for _, r := range j.runs {
			require.False(w.t, r.open || r.ran, "a promise that does not hold")
		}
	}
}

func (w *town) do(i int, fx []Effect) {
	n := w.nodes[i]
	for _, f := range fx {
		switch f.Action {
		case Send:
			m := f.Message
			to := 0
			_, err := fmt.Sscan(m.Peer, &to)
			require.NoError(w.t, err)
			m.Peer = fmt.Sprint(i)
			for again := true; again; again = w.r.IntN(12) == 0 {
				if w.r.IntN(12) > 0 {
					late := w.r.IntN(6)
					if w.r.IntN(15) == 0 {
						late = w.r.IntN(150)
					}
					w.mail = append(w.mail, townMail{w.now + 1 + late, to, m})
				}
			}
		case Begin:
			var j *townJob
			for _, x := range w.jobs {
				if x.life == f.Message.Owner && x.number == f.Message.Job {
					j = x
				}
			}
			require.NotNil(w.t, j, "a run of no job")
			require.Nil(w.t, w.runs[f.Ticket], "one ticket run twice")
			require.Less(w.t, time.Duration(w.now), j.deadline+townBounds.AcceptTimeout, "begun after its deadline")
			w.runs[f.Ticket] = w.begin(j, f.Ticket)
		case Stop:
			w.runs[f.Ticket].open, w.runs[f.Ticket].ran = false, true
		case Requeue:
			n.jobs[f.Job].held = true
		case Deliver:
			j := n.jobs[f.Job]
			require.Zero(w.t, j.outcome, "a part after the end")
			if j.from != f.Message.Ticket {
				require.True(w.t, j.again || j.from == Ticket{}, "parts of two runs")
				j.from, j.delivered = f.Message.Ticket, 0
			}
			j.delivered++
			require.Equal(w.t, j.delivered, f.Message.Number, "a part out of order")
		case End:
			j := n.jobs[f.Job]
			if f.Outcome == Complete {
				got := uint64(0)
				if j.from == f.Message.Ticket {
					got = j.delivered
				}
				require.Equal(w.t, w.runs[f.Message.Ticket].length, got, "a whole answer with a part missing")
			}
			w.end(j, f.Outcome)
		}
	}
}

func (w *town) step() {
	w.now++
	now := time.Duration(w.now)
	if w.r.IntN(200) == 0 { // a node's channels are reset: what is under way to it is lost
		to := w.r.IntN(len(w.nodes))
		w.mail = slices.DeleteFunc(w.mail, func(x townMail) bool { return x.to == to })
	}
	for k := 0; k < len(w.mail); k++ {
		x := w.mail[k]
		if n := w.nodes[x.to]; x.at <= w.now && !n.frozen {
			w.mail = append(w.mail[:k:k], w.mail[k+1:]...)
			k--
			if x.m.Kind <= Drop {
				w.do(x.to, n.taker.Step(now, x.m))
			} else {
				w.do(x.to, n.owner.Step(now, x.m))
			}
		}
	}
	for i, n := range w.nodes {
		if n.frozen {
			n.frozen = w.r.IntN(60) > 0
			continue
		}
		w.do(i, n.owner.Tick(now))
		w.do(i, n.taker.Tick(now))
		n.frozen = w.r.IntN(700) == 0
		if w.r.IntN(900) == 0 {
			for _, j := range n.jobs {
				j.gone = true
			}
			for t, r := range w.runs {
				if t.Incarnation == n.life && r.open {
					r.open, r.ran = false, true
				}
			}
			w.born(i)
		}
	}
	for _, j := range w.jobs {
		n := w.nodes[j.owner]
		if !j.held || j.gone || j.outcome != 0 || n.frozen {
			continue
		}
		switch k := w.r.IntN(20); {
		case k < 6 && j.turns < 4:
			j.held = false
			j.turns++
			fx := n.owner.Offer(now, j.number, fmt.Sprint((j.owner+1+w.r.IntN(len(w.nodes)-1))%len(w.nodes)), nil)
			if fx == nil {
				w.do(j.owner, n.owner.GiveUp(j.number))
			}
			w.do(j.owner, fx)
		case k == 6:
			if lost, _, ok := n.owner.Reclaim(now, j.number); ok {
				require.True(w.t, j.again || !lost, "run here after a loss")
				w.begin(j, Ticket{}).ran = true
				w.end(j, Complete)
			}
		case k == 7:
			w.do(j.owner, n.owner.GiveUp(j.number))
		}
	}
	for _, n := range w.nodes {
		for _, e := range append([]*entry{}, n.taker.entries...) {
			r := w.runs[Ticket{n.life, e.ticket}]
			if e.status != running || n.frozen || w.r.IntN(5) > 0 {
				continue
			}
			i := 0
			for k := range w.nodes {
				if w.nodes[k] == n {
					i = k
				}
			}
			switch {
			case !r.ran && w.r.IntN(6) == 0:
				r.open = false
				w.do(i, n.taker.Finish(e.ticket, Returned, 1))
			case r.ran && w.r.IntN(20) == 0:
				r.open = false
				w.do(i, n.taker.Finish(e.ticket, Failed, 1))
			case r.parts < r.length:
				r.parts++
				r.ran = true
				w.do(i, n.taker.SendPart(e.ticket, nil))
			default:
				r.open, r.ran = false, true
				w.do(i, n.taker.Finish(e.ticket, Done, 1))
			}
		}
	}
}

// TestSchedules judges random schedules of five nodes and thirty jobs: losses, copies, delays, resets, freezes and deaths at any point.
func TestSchedules(t *testing.T) {
	ends := map[Outcome]int{}
	for seed := range uint64(400) {
		w := &town{t: t, r: rand.New(rand.NewPCG(seed, 8)), nodes: make([]*townNode, 5), runs: map[Ticket]*townRun{}}
		for i := range w.nodes {
			w.born(i)
		}
		for w.now < 1200 {
			if w.now < 600 && w.now%20 == 0 {
				i := w.r.IntN(len(w.nodes))
				if n := w.nodes[i]; !n.frozen {
					j := &townJob{again: w.r.IntN(2) == 0, owner: i, life: n.life, held: true}
					j.deadline = time.Duration(w.now + 40 + w.r.IntN(250))
					j.number = n.owner.Take(j.deadline, j.again, 1+w.r.IntN(3))
					n.jobs[j.number] = j
					w.jobs = append(w.jobs, j)
				}
			}
			w.step()
		}
		for _, j := range w.jobs {
			require.True(t, j.gone || j.outcome != 0 || w.nodes[j.owner].frozen, "seed %d: a job was forgotten", seed)
			if !j.gone {
				ends[j.outcome]++
			}
		}
		for _, n := range w.nodes {
			require.LessOrEqual(t, len(n.taker.entries), 2+townBounds.Tombstones, "seed %d: more is remembered than the bound", seed)
		}
	}
	t.Logf("ends %v", ends)
	for _, o := range []Outcome{Complete, Rejected, Indeterminate, DeadlineExceeded} {
		require.Greater(t, ends[o], 20, "outcome %d is hardly reached", o)
	}
}
