package router

import (
	"errors"
	"net/http"
	"time"

	"shaletrestle/coord/rpc"
	"shaletrestle/internal/longwork"
	"shaletrestle/internal/settings"
)

// slowMark marks a ping, or its answer, of a node whose machine has turned slow.
const slowMark = "slow"

// machineMark is what pings and their answers say of this machine.
func (r *Router) machineMark() string {
	if r.machine.Slow() {
		return slowMark
	}
	return ""
}

// newPing returns what asks another router whether it is there; both sides say whether they are slow.
func (r *Router) newPing(lines *rpc.Pool, self string) func(node string) bool {
	return func(node string) bool {
		ping := &rpc.Message{Kind: rpc.Hello, From: rpc.Member{Address: self}, Text: r.machineMark()}
		answer, err := lines.Call(node, ping, rpc.CallTimeout)
		if err != nil || !answer.OK {
			return false
		}
		r.machine.UpdatePeer(node, answer.Text == slowMark)
		r.longWork.RecordPeer(node, answer)
		return true
	}
}

// handle answers the pings of other routers and takes their messages on long work.
func (r *Router) handle(channel *rpc.Channel, message *rpc.Message) *rpc.Message {
	if message.Kind == rpc.Job {
		r.longWork.Receive(channel, message)
		return nil
	}
	if message.Kind != rpc.Hello || message.Call == 0 {
		return nil
	}
	if message.From.Address != "" {
		r.machine.UpdatePeer(message.From.Address, message.Text == slowMark)
	}
	answer := message.Reply(true)
	answer.Text = r.machineMark()
	return r.longWork.AnswerPing(answer)
}

// longWorkRouter is the router as package longwork sees it.
type longWorkRouter struct{ router *Router }

// Settings are those in force.
func (l longWorkRouter) Settings() *settings.Settings { return l.router.settings.Load() }

// AcceptsWork reports whether jobs of peers may come here.
func (l longWorkRouter) AcceptsWork() bool { return l.router.ready.Load() && !l.router.draining.Load() }

// BodyMemory is the memory that bodies take, and that they may take by the settings in force, in bytes.
func (l longWorkRouter) BodyMemory() (used, limit float64) {
	sum := int64(0)
	for _, share := range l.router.bodies.UserShares() {
		sum += share.Used
	}
	return float64(sum), bodyMemoryFraction * l.router.settings.Load().Limits.MemoryMB * bytesPerMB
}

// HasService reports whether the configuration in force names a service.
func (l longWorkRouter) HasService(name string) bool { return l.router.table.Load().Pools[name] != nil }

// RunForPeer runs a peer's request like one of a client. A request that has no route here is not run.
func (l longWorkRouter) RunForPeer(writer http.ResponseWriter, inbound *http.Request, attempts int, offeredAt time.Time) (run longwork.Run) {
	l.router.inflight.Inc()
	defer l.router.inflight.Dec()
	req := newRequest(l.router, writer, inbound)
	matched := req.table.Match(inbound.Host, inbound.RequestURI)
	if matched == nil {
		return longwork.Run{}
	}
	limited := *matched
	limited.MaxAttempts = min(limited.MaxAttempts, attempts)
	req.route = &limited
	req.arrived = offeredAt
	req.forPeer = true
	defer func() {
		cause := recover()
		if err, ok := cause.(error); cause != nil && !(ok && errors.Is(err, http.ErrAbortHandler)) {
			panic(cause)
		}
		req.release()
		run = longwork.Run{Attempts: req.history.Sends(), MayHaveRun: req.history.MayHaveRun(), Aborted: cause != nil}
	}()
	req.runSteps()
	return run
}
