package router

import (
	"net/http"

	"shaletrestle/coord/rpc"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/httpreply"
)

// slowMark marks a ping or its answer of a node whose machine has turned slow.
const slowMark = "slow"

func (r *Router) machineMark() string {
	if r.machine.Slow() {
		return slowMark
	}
	return ""
}

// newPing gives what asks another router whether it is there; both sides say whether they are slow.
func (r *Router) newPing(lines *rpc.Pool, self string) func(node string) bool {
	return func(node string) bool {
		a, err := lines.Call(node, &rpc.Message{Kind: rpc.Hello, From: rpc.Member{Address: self}, Text: r.machineMark()}, rpc.CallTimeout)
		if err != nil || !a.OK {
			return false
		}
		r.machine.UpdatePeer(node, a.Text == slowMark)
		r.longWork.recordPeer(node, a)
		return true
	}
}

// handle answers the pings of other routers and takes their notes on long work.
func (r *Router) handle(ch *rpc.Channel, n *rpc.Message) *rpc.Message {
	if n.Kind == rpc.Job {
		r.longWork.receive(ch, n)
		return nil
	}
	if n.Kind != rpc.Hello || n.Call == 0 {
		return nil
	}
	if n.From.Address != "" {
		r.machine.UpdatePeer(n.From.Address, n.Text == slowMark)
	}
	a := n.Reply(true)
	a.Text = r.machineMark()
	return r.longWork.answerPing(a)
}

// acceptsConnections tells whether the platform may send new connections here.
func (r *Router) acceptsConnections() bool {
	return r.ready.Load() && !r.leaving.Load() && !r.machine.ShouldRefuseNew()
}

// closesConnections tells whether clients should take their open connections elsewhere.
func (r *Router) closesConnections() bool { return r.leaving.Load() || r.machine.ShouldShed() }

func (r *Router) serveReadiness(w http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodGet && request.URL.Path == "/v1/readiness" {
		if r.acceptsConnections() {
			httpreply.JSON(w, http.StatusOK, map[string]bool{"ready": true})
		} else {
			httpreply.JSON(w, http.StatusServiceUnavailable, map[string]bool{"ready": false})
		}
		return
	}
	httpreply.Error(w, errkind.New(errkind.NoRoute, "no such call"))
}
