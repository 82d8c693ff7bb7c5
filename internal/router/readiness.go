package router

import (
	"net/http"

	"shaletrestle/coord/rpc"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/httpreply"
)

// slowWord marks a ping or its answer of a node whose machine has turned slow.
const slowWord = "slow"

func (g *Router) word() string {
	if g.level.Slow() {
		return slowWord
	}
	return ""
}

// pinger gives what asks another router whether it is there; both sides say whether they are slow.
func (g *Router) pinger(lines *rpc.Pool, self string) func(node string) bool {
	return func(node string) bool {
		a, err := lines.Call(node, &rpc.Message{Kind: rpc.Hello, From: rpc.Member{Address: self}, Text: g.word()}, rpc.CallTimeout)
		if err != nil || !a.OK {
			return false
		}
		g.level.UpdatePeer(node, a.Text == slowWord)
		g.long.roomOf(node, a)
		return true
	}
}

// handle answers the pings of other routers and takes their notes on long work.
func (g *Router) handle(ch *rpc.Channel, n *rpc.Message) *rpc.Message {
	if n.Kind == rpc.Job {
		g.long.note(ch, n)
		return nil
	}
	if n.Kind != rpc.Hello || n.Call == 0 {
		return nil
	}
	if n.From.Address != "" {
		g.level.UpdatePeer(n.From.Address, n.Text == slowWord)
	}
	a := n.Reply(true)
	a.Text = g.word()
	return g.long.tellRoom(a)
}

// takesNew tells whether the platform may send new connections here.
func (g *Router) takesNew() bool {
	return g.ready.Load() && !g.leaving.Load() && !g.level.ShouldRefuseNew()
}

// letsGo tells whether clients should take their open connections elsewhere.
func (g *Router) letsGo() bool { return g.leaving.Load() || g.level.ShouldShed() }

func (g *Router) readiness(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/v1/readiness" {
		if g.takesNew() {
			httpreply.JSON(w, http.StatusOK, map[string]bool{"ready": true})
		} else {
			httpreply.JSON(w, http.StatusServiceUnavailable, map[string]bool{"ready": false})
		}
		return
	}
	httpreply.Error(w, errkind.New(errkind.NoRoute, "no such call"))
}
