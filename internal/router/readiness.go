package router

import (
	"net/http"

	"shaletrestle/coord/rpc"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/httpreply"
)

// slowWord marks a ping or its answer of a node whose machine has turned slow.
const slowWord = "slow"

func (g *Gate) word() string {
	if g.level.Slow() {
		return slowWord
	}
	return ""
}

// pinger gives what asks another router whether it is there; both sides say whether they are slow.
func (g *Gate) pinger(lines *rpc.Lines, self string) func(node string) bool {
	return func(node string) bool {
		a, err := lines.Call(node, &rpc.Note{Kind: rpc.Hello, From: rpc.Seat{Addr: self}, Word: g.word()}, constants.CallWait)
		if err != nil || !a.OK {
			return false
		}
		g.level.Hear(node, a.Word == slowWord)
		g.long.roomOf(node, a)
		return true
	}
}

// handle answers the pings of other routers and takes their notes on long work.
func (g *Gate) handle(ch *rpc.Channel, n *rpc.Note) *rpc.Note {
	if n.Kind == rpc.Job {
		g.long.note(ch, n)
		return nil
	}
	if n.Kind != rpc.Hello || n.Call == 0 {
		return nil
	}
	if n.From.Addr != "" {
		g.level.Hear(n.From.Addr, n.Word == slowWord)
	}
	a := n.Reply(true)
	a.Word = g.word()
	return g.long.tellRoom(a)
}

// takesNew tells whether the platform may send new connections here.
func (g *Gate) takesNew() bool { return g.ready.Load() && !g.leaving.Load() && !g.level.Out() }

// letsGo tells whether clients should take their open connections elsewhere.
func (g *Gate) letsGo() bool { return g.leaving.Load() || g.level.Shed() }

func (g *Gate) readiness(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/v1/readiness" {
		if g.takesNew() {
			httpreply.JSON(w, http.StatusOK, map[string]bool{"ready": true})
		} else {
			httpreply.JSON(w, http.StatusServiceUnavailable, map[string]bool{"ready": false})
		}
		return
	}
	httpreply.Fault(w, errkind.New(errkind.NoPath, "no such call"))
}
