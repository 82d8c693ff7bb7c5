package handoff

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var clusterBounds = Bounds{AnswerTimeout: 20, AcceptTimeout: 30, RenewInterval: 15, Lease: 50, Tombstones: 4}

// clusterRun is one run of a job, as the judge sees it.
type clusterRun struct {
	ticket     Ticket
	open       bool
	mayHaveRun bool
	parts      uint64
	length     uint64
}

type clusterJob struct {
	repeatable  bool
	deadline    time.Duration
	owner       int
	incarnation uint64
	number      uint64
	pending     bool
	offers      int
	runs        []*clusterRun
	outcome     Outcome
	ownerDied   bool // its owner died, its client saw the connection end
	from        Ticket
	delivered   uint64
}

type clusterNode struct {
	incarnation uint64
	owner       *Owner
	taker       *Taker
	frozen      bool
	jobs        map[uint64]*clusterJob
}

type delivery struct {
	at, to  int
	message Message
}

// cluster is many nodes and jobs under one random schedule.
type cluster struct {
	t            *testing.T
	random       *rand.Rand
	now          int
	incarnations uint64
	nodes        []*clusterNode
	inFlight     []delivery
	jobs         []*clusterJob
	runs         map[Ticket]*clusterRun
}

// restart begins a new incarnation of a node, which knows of no job.
func (c *cluster) restart(i int) {
	c.incarnations++
	n := &clusterNode{incarnation: c.incarnations, owner: NewOwner(c.incarnations, clusterBounds), taker: NewTaker(c.incarnations, clusterBounds), jobs: map[uint64]*clusterJob{}}
	n.taker.SetCapacity(2)
	c.nodes[i] = n
}

// begin judges that a run may begin.
func (c *cluster) begin(j *clusterJob, t Ticket) *clusterRun {
	for _, r := range j.runs {
		require.True(c.t, j.repeatable || !r.open && !r.mayHaveRun, "a second run")
	}
	require.NotEqual(c.t, Rejected, j.outcome, "a run after the promise")
	r := &clusterRun{ticket: t, open: true, length: uint64(c.random.IntN(4))}
	j.runs = append(j.runs, r)
	return r
}

// finish judges the final outcome of a job.
func (c *cluster) finish(j *clusterJob, as Outcome) {
	require.Zero(c.t, j.outcome, "two final answers")
	j.outcome = as
	if as == Rejected {
		for _, r := range j.runs {
			require.False(c.t, r.open || r.mayHaveRun, "a promise that does not hold")
		}
	}
}

// apply carries out the effects of a node and judges each.
func (c *cluster) apply(i int, effects []Effect) {
	n := c.nodes[i]
	for _, f := range effects {
		switch f.Action {
		case Send:
			c.send(i, f.Message)
		case Begin:
			require.Nil(c.t, c.runs[f.Ticket], "one ticket run twice")
			c.runs[f.Ticket] = c.begin(c.jobOf(f.Message), f.Ticket)
		case Stop:
			c.runs[f.Ticket].open, c.runs[f.Ticket].mayHaveRun = false, true
		case Requeue:
			n.jobs[f.Job].pending = true
		case Deliver:
			c.deliver(n.jobs[f.Job], f.Message)
		case End:
			j := n.jobs[f.Job]
			if f.Outcome == Complete {
				got := uint64(0)
				if j.from == f.Message.Ticket {
					got = j.delivered
				}
				require.Equal(c.t, c.runs[f.Message.Ticket].length, got, "a complete response with a part missing")
			}
			c.finish(j, f.Outcome)
		}
	}
}

// send puts a message on its way: mostly once and soon, sometimes late, lost or several times.
func (c *cluster) send(from int, m Message) {
	to := 0
	_, err := fmt.Sscan(m.Peer, &to)
	require.NoError(c.t, err)
	m.Peer = fmt.Sprint(from)
	for again := true; again; again = c.random.IntN(12) == 0 {
		if c.random.IntN(12) > 0 {
			late := c.random.IntN(6)
			if c.random.IntN(15) == 0 {
				late = c.random.IntN(150)
			}
			c.inFlight = append(c.inFlight, delivery{c.now + 1 + late, to, m})
		}
	}
}

// jobOf is the job that a run begins for.
func (c *cluster) jobOf(m Message) (found *clusterJob) {
	for _, j := range c.jobs {
		if j.incarnation == m.Owner && j.number == m.Job {
			found = j
		}
	}
	require.NotNil(c.t, found, "a run of no job")
	require.Less(c.t, time.Duration(c.now), found.deadline+clusterBounds.AcceptTimeout, "begun after its deadline")
	return found
}

// deliver judges a part that a client gets.
func (c *cluster) deliver(j *clusterJob, part Message) {
	require.Zero(c.t, j.outcome, "a part after the end")
	if j.from != part.Ticket {
		require.True(c.t, j.repeatable || j.from == Ticket{}, "parts of two runs")
		j.from, j.delivered = part.Ticket, 0
	}
	j.delivered++
	require.Equal(c.t, j.delivered, part.Number, "a part out of order")
}

// step lets a unit of time pass: messages arrive, machines look at the time, nodes crash, freeze and thaw, pending jobs are
// placed, runs go on.
func (c *cluster) step() {
	c.now++
	c.resetChannels()
	c.deliverDue()
	for i, n := range c.nodes {
		c.tick(i, n)
	}
	for _, j := range c.jobs {
		c.place(j)
	}
	for i, n := range c.nodes {
		for _, e := range append([]*entry{}, n.taker.entries...) {
			c.run(i, n, e)
		}
	}
}

// resetChannels sometimes resets a node's channels: what is in flight to it is lost.
func (c *cluster) resetChannels() {
	if c.random.IntN(200) == 0 {
		to := c.random.IntN(len(c.nodes))
		c.inFlight = slices.DeleteFunc(c.inFlight, func(x delivery) bool { return x.to == to })
	}
}

// deliverDue delivers the messages whose time has come.
func (c *cluster) deliverDue() {
	now := time.Duration(c.now)
	for k := 0; k < len(c.inFlight); k++ {
		x := c.inFlight[k]
		n := c.nodes[x.to]
		if x.at > c.now || n.frozen {
			continue
		}
		c.inFlight = append(c.inFlight[:k:k], c.inFlight[k+1:]...)
		k--
		if x.message.Kind <= Drop {
			c.apply(x.to, n.taker.Step(now, x.message))
		} else {
			c.apply(x.to, n.owner.Step(now, x.message))
		}
	}
}

// tick lets a node look at the time; sometimes it freezes, thaws or crashes.
func (c *cluster) tick(i int, n *clusterNode) {
	now := time.Duration(c.now)
	if n.frozen {
		n.frozen = c.random.IntN(60) > 0
		return
	}
	c.apply(i, n.owner.Tick(now))
	c.apply(i, n.taker.Tick(now))
	n.frozen = c.random.IntN(700) == 0
	if c.random.IntN(900) > 0 {
		return
	}
	for _, j := range n.jobs {
		j.ownerDied = true
	}
	for t, r := range c.runs {
		if t.Incarnation == n.incarnation && r.open {
			r.open, r.mayHaveRun = false, true
		}
	}
	c.restart(i)
}

// place sometimes offers a pending job to another node, runs it at its owner, or gives it up.
func (c *cluster) place(j *clusterJob) {
	now, n := time.Duration(c.now), c.nodes[j.owner]
	if !j.pending || j.ownerDied || j.outcome != 0 || n.frozen {
		return
	}
	switch k := c.random.IntN(20); {
	case k < 6 && j.offers < 4:
		j.pending = false
		j.offers++
		peer := (j.owner + 1 + c.random.IntN(len(c.nodes)-1)) % len(c.nodes)
		effects := n.owner.Offer(now, j.number, fmt.Sprint(peer), nil)
		if effects == nil {
			c.apply(j.owner, n.owner.GiveUp(j.number))
		}
		c.apply(j.owner, effects)
	case k == 6:
		if lost, _, ok := n.owner.Reclaim(now, j.number); ok {
			require.True(c.t, j.repeatable || !lost, "run here after a loss")
			c.begin(j, Ticket{}).mayHaveRun = true
			c.finish(j, Complete)
		}
	case k == 7:
		c.apply(j.owner, n.owner.GiveUp(j.number))
	}
}

// run sometimes lets a run go on: it sends a part or ends.
func (c *cluster) run(i int, n *clusterNode, e *entry) {
	r := c.runs[Ticket{n.incarnation, e.ticket}]
	if e.status != running || n.frozen || c.random.IntN(5) > 0 {
		return
	}
	switch {
	case !r.mayHaveRun && c.random.IntN(6) == 0:
		r.open = false
		c.apply(i, n.taker.Finish(e.ticket, Returned, 1))
	case r.mayHaveRun && c.random.IntN(20) == 0:
		r.open = false
		c.apply(i, n.taker.Finish(e.ticket, Failed, 1))
	case r.parts < r.length:
		r.parts++
		r.mayHaveRun = true
		c.apply(i, n.taker.SendPart(e.ticket, nil))
	default:
		r.open, r.mayHaveRun = false, true
		c.apply(i, n.taker.Finish(e.ticket, Done, 1))
	}
}

// TestCluster_RandomSchedules_KeepRules judges random schedules of five nodes and thirty jobs: losses, copies, delays, resets, freezes and deaths at any point.
func TestCluster_RandomSchedules_KeepRules(t *testing.T) {
	ends := map[Outcome]int{}
	for seed := range uint64(400) {
		w := &cluster{t: t, random: rand.New(rand.NewPCG(seed, 8)), nodes: make([]*clusterNode, 5), runs: map[Ticket]*clusterRun{}}
		for i := range w.nodes {
			w.restart(i)
		}
		for w.now < 1200 {
			if w.now < 600 && w.now%20 == 0 {
				i := w.random.IntN(len(w.nodes))
				if n := w.nodes[i]; !n.frozen {
					j := &clusterJob{repeatable: w.random.IntN(2) == 0, owner: i, incarnation: n.incarnation, pending: true}
					j.deadline = time.Duration(w.now + 40 + w.random.IntN(250))
					j.number = n.owner.Take(j.deadline, j.repeatable, 1+w.random.IntN(3))
					n.jobs[j.number] = j
					w.jobs = append(w.jobs, j)
				}
			}
			w.step()
		}
		for _, j := range w.jobs {
			require.True(t, j.ownerDied || j.outcome != 0 || w.nodes[j.owner].frozen, "seed %d: a job was forgotten", seed)
			if !j.ownerDied {
				ends[j.outcome]++
			}
		}
		for _, n := range w.nodes {
			require.LessOrEqual(t, len(n.taker.entries), 2+clusterBounds.Tombstones, "seed %d: more is remembered than the bound", seed)
		}
	}
	t.Logf("ends %v", ends)
	for _, o := range []Outcome{Complete, Rejected, Indeterminate, DeadlineExceeded} {
		require.Greater(t, ends[o], 20, "outcome %d is hardly reached", o)
	}
}
