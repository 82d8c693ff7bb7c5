package simulation

import (
	"slices"
	"time"

	"shaletrestle/coord/replication/core"
)

type (
	callID    uint64 // one call of a client
	commandID uint64 // a command; its repeats are other calls
)

type operation uint8

const (
	writeOperation operation = iota // a register, on top of a version
	flagOperation                   // sets or clears a flag
	readOperation
)

// request is what a client wants. It may take several calls.
type request struct {
	operation operation
	key       int
	command   commandID
	base      uint64
	value     bool
	payload   []byte
}

// call is one try of a request at one member.
type call struct {
	client   *client
	id       callID
	request  request
	sent     time.Duration
	ended    time.Duration // when the client had its answer
	definite bool          // the client had a definite result
	outcome  core.Outcome
	seen     [keyCount]observed // what the answer says; a read sees all keys

	process  *process
	began    uint64 // step of the process in which the call arrived, or Decide ran
	deadline time.Duration
	floor    uint64    // the longest history spoken of when the call arrived
	decided  *position // that Decide saw
	wrote    *position // that the command's entry leads to
	ran      bool
	answered bool // by the core
	replied  func()
}

const (
	clientTimeout  = time.Second // a client asks elsewhere after this long without a result
	commandTimeout = 800 * time.Millisecond
	requestTries   = 12
	callDelay      = 3 * time.Millisecond
)

// client makes calls one after the other, each request until it has a definite result or is given up.
type client struct {
	cluster *cluster
	number  int
	prober  bool // it makes flag calls only, all the time, for the liveness check
	hint    *host
	known   [keyCount]observed
	recent  []request // sent lately, to be repeated
}

func (c *cluster) startClients() {
	for i := range c.settings.Clients + 1 {
		made := &client{cluster: c, number: i, prober: i == c.settings.Clients}
		c.clients = append(c.clients, made)
		c.after(c.between(0, c.settings.Pause), made.begin)
	}
}

// begin makes the next request.
func (k *client) begin() {
	c := k.cluster
	if c.stopped || c.now >= c.settings.Horizon && !k.prober {
		return
	}
	if k.prober {
		k.probe()
		return
	}
	k.try(k.choose(), requestTries)
}

// probe asks the primary as soon as there is one that can be reached. The prober knows who it is, so that its own waits say nothing of the group.
func (k *client) probe() {
	c := k.cluster
	p := c.monitor.writers[c.monitor.newest]
	if p == nil || p.dead || !p.primary || p.frozen > 0 || p.host.cutClients > 0 {
		c.after(10*time.Millisecond, k.begin)
		return
	}
	k.hint = p.host
	k.try(k.choose(), 0)
}

// choose picks a request.
func (k *client) choose() request {
	c := k.cluster
	dice := c.random.Float64()
	switch {
	case k.prober:
		return request{operation: flagOperation, key: registerCount, value: !k.known[registerCount].value}
	case dice < 0.15:
		return request{operation: readOperation}
	case dice < 0.35:
		key := registerCount + c.random.IntN(flagCount)
		return request{operation: flagOperation, key: key, value: c.chance(0.5)}
	case dice < 0.42 && len(k.recent) > 0:
		return k.recent[c.random.IntN(len(k.recent))]
	}
	return k.newCommand()
}

func (k *client) newCommand() request {
	c := k.cluster
	c.lastCommand++
	key := c.random.IntN(registerCount)
	command := request{operation: writeOperation, key: key, command: c.lastCommand, base: k.known[key].version}
	command.payload = make([]byte, c.random.IntN(c.maxPayloadBytes()))
	k.recent = append(k.recent, command)
	k.recent = k.recent[max(0, len(k.recent)-3):]
	return command
}

// maxPayloadBytes bounds a command's size; it grows over a run, so the state does too.
func (c *cluster) maxPayloadBytes() int {
	return 20 + int(c.now/(100*time.Millisecond))
}

// try makes one call of a request.
func (k *client) try(r request, left int) {
	c := k.cluster
	c.lastCall++
	made := &call{client: k, id: c.lastCall, request: r, sent: c.now}
	c.calls = append(c.calls, made)
	target := k.pick()
	finished := false
	finish := func() {
		if !finished {
			finished = true
			k.next(made, left)
		}
	}
	made.replied = finish
	c.after(clientTimeout, finish)
	c.after(c.between(callDelay/3, callDelay), func() { made.arrive(target) })
}

// pick chooses the member to ask: the one that is said to be primary, or any. Now and then it is one that holds itself for primary, be it right or not.
func (k *client) pick() *host {
	c := k.cluster
	if k.hint != nil && (k.prober || c.chance(0.6)) {
		return k.hint
	}
	if candidates := c.selfDeclaredPrimaries(); len(candidates) > 0 && c.chance(0.5) {
		return candidates[c.random.IntN(len(candidates))]
	}
	members := slices.Concat(c.currentHosts(), c.relays)
	return members[c.random.IntN(len(members))]
}

// selfDeclaredPrimaries are the machines that hold themselves for primary.
func (c *cluster) selfDeclaredPrimaries() []*host {
	return slices.DeleteFunc(c.currentHosts(), func(h *host) bool { return h.process == nil || !h.process.primary })
}

// currentHosts are the machines that are members now.
func (c *cluster) currentHosts() []*host {
	var hosts []*host
	for _, s := range c.slots {
		if s.host != nil && !s.retired {
			hosts = append(hosts, s.host)
		}
	}
	return hosts
}

// next goes on after a result, or without one.
func (k *client) next(made *call, left int) {
	c := k.cluster
	if made.definite {
		k.learn(made)
		c.after(c.between(0, c.settings.Pause), k.begin)
		return
	}
	if !made.answered {
		k.hint = nil
	}
	if left == 0 {
		c.after(c.between(5*time.Millisecond, 30*time.Millisecond), k.begin)
		return
	}
	wait := time.Duration(requestTries+1-left) * 20 * time.Millisecond
	c.after(c.between(wait/2, wait), func() { k.try(made.request, left-1) })
}

// learn keeps what a definite result told.
func (k *client) learn(made *call) {
	if made.request.operation == readOperation {
		k.known = made.seen
		return
	}
	k.known[made.request.key] = made.seen[made.request.key]
}

// arrive brings the call to a member.
func (k *call) arrive(target *host) {
	c := k.client.cluster
	p := target.process
	if p == nil || target.cutClients > 0 {
		if p == nil && c.chance(0.7) { // a dead port refuses the connection
			k.replied()
		}
		return
	}
	p.take(happening{kind: callHappening, next: func() { k.enter(p) }})
}

// enter gives the call to the core.
func (k *call) enter(p *process) {
	k.process = p
	k.floor = p.cluster.monitor.reportedIndex()
	p.lastToken++
	token := p.lastToken
	p.calls[token] = k
	k.began = p.steps + 1
	k.deadline = p.clock() + commandTimeout
	if k.request.operation == readOperation {
		p.step(core.Read{Token: token, Deadline: k.deadline})
		return
	}
	p.step(core.Command{Token: token, Deadline: k.deadline, Decide: func() ([]byte, error) { return k.decide(p) }})
}

// decide is the command's look at the state.
func (k *call) decide(p *process) ([]byte, error) {
	p.cluster.monitor.decides(p, k)
	k.ran = true
	k.began = p.steps
	k.decided = p.store.tip
	r := k.request
	key := &p.store.keys[r.key]
	k.seen[r.key] = key.observe()
	entry := entryData{key: r.key, value: r.value, call: k.id, command: r.command, payload: r.payload}
	switch {
	case r.operation == flagOperation && key.value == r.value:
		return nil, nil
	case r.operation == writeOperation && slices.Contains(key.taken, r.command):
		return nil, nil
	case r.operation == writeOperation && key.version != r.base:
		return nil, versionError{key.observe()}
	}
	data := entry.encode()
	k.wrote = p.cluster.history.after(k.decided, data)
	k.seen[r.key] = observed{version: key.version + 1, last: k.id, value: r.value}
	return data, nil
}

// end carries the core's answer back to the client, if the way is open.
func (k *call) end(answer core.Result) {
	k.answered = true
	k.outcome = answer.Outcome
	if k.request.operation == readOperation && answer.Outcome == core.Current {
		for i := range k.seen {
			k.seen[i] = k.process.store.keys[i].observe()
		}
	}
	c := k.client.cluster
	host := k.process.host
	if host.cutClients > 0 || c.chance(c.answerLoss) {
		return
	}
	hint, known := k.process.core.Primary(k.process.clock())
	c.after(c.between(callDelay/3, callDelay), func() {
		if c.now-k.sent > clientTimeout {
			return
		}
		if known {
			k.client.hint = c.addresses[hint.Address]
		} else if answer.Outcome == core.Deposed {
			k.client.hint = nil
		}
		if answer.Outcome.IsDefinite() {
			k.definite = true
			k.ended = c.now
			c.liveness.recordDefinite(k)
		}
		k.replied()
	})
}

// lost ends a call whose process died.
func (k *call) lost() {
	if k.client.cluster.chance(0.7) { // the connection breaks
		k.client.cluster.after(callDelay, k.replied)
	}
}
