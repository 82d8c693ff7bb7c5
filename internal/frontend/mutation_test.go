package frontend

import (
	"testing"

	"shaletrestle/internal/mutation"
)

// TestMutants_Framing_AreFound shows that the tests see when a mechanism of the framing is missing.
func TestMutants_Framing_AreFound(t *testing.T) {
	const run = "ClientConn|ProperChunked|ClientLeaves|Framing_"
	mutation.AllFound(t, []mutation.Mutation{
		{Name: "the next request is handed out at once", File: "clientconn.go", From: "\tif c.framing.state == messageComplete {\n\t\treturn 0, true, nil\n\t}\n", To: "\tif c.framing.state == messageComplete {\n\t\tc.framing.reset()\n\t}\n", Run: run},
		{Name: "nothing is read ahead", File: "clientconn.go", From: "full := len(c.kept) >= connectionAheadLimit || ", To: "full := len(c.kept) > 0 || ", Run: run},
		{Name: "no limit of a connection", File: "clientconn.go", From: "len(c.kept) >= connectionAheadLimit || ", To: "", Run: run},
		{Name: "no limit of all connections", File: "clientconn.go", From: " || c.ahead.Load() >= totalAheadLimit", To: "", Run: run},
		{Name: "a length beside chunks is not seen", File: "framing.go", From: "f.hasLength && f.chunked || ", To: "", Run: run},
		{Name: "data of a chunk may be its end", File: "framing.go", From: "\tcase f.left > 0:\n", To: "", Run: run},
		{Name: "a trailer is no part of its request", File: "framing.go", From: "\t\tf.state = inTrailer\n", To: "\t\tf.state = messageComplete\n", Run: run},
		{Name: "a long start line is cut", File: "framing.go", From: "f.isHTTP11 = bytes", To: "f.isHTTP11 = !cut && bytes", Run: run},
	})
}

// TestMutants_IdleClose_AreFound shows the same for the order of a request and an idle connection's end.
func TestMutants_IdleClose_AreFound(t *testing.T) {
	const run = "AnyOrder|KeptBytes|IdleTimeout"
	const refused = "\tif c.isClosed {\n\t\treturn 0, net.ErrClosed\n\t}\n\tc.endIdle()\n"
	mutation.AllFound(t, []mutation.Mutation{
		{Name: "what is read after the decision is given away", File: "clientconn.go", From: refused, To: "\tc.endIdle()\n", Run: run},
		{Name: "a request that has begun does not end the idle time", File: "clientconn.go", From: refused, To: "\tif c.isClosed {\n\t\treturn 0, net.ErrClosed\n\t}\n", Run: run},
		{Name: "what was kept is given away", File: "clientconn.go", From: "\tif c.isClosed {\n\t\treturn 0, false, net.ErrClosed\n\t}\n", To: "", Run: run},
	})
}
