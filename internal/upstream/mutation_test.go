package upstream

import (
	"testing"

	"shaletrestle/internal/mutation"
)

// TestTheModelFindsMutants shows that each mechanism is needed and that the model sees when it is missing.
func TestTheModelFindsMutants(t *testing.T) {
	mutation.AllFound(t, []mutation.Mutation{
		{Name: "Attempt-Id not compared", File: "reader.go", From: "response.Header.Get(HeaderAttemptID) == x.request.AttemptID", To: "true", Run: "Response|Surplus"},
		{Name: "one connection for the same Attempt-Id", File: "connection.go", From: "c.used && c.lastID == request.AttemptID", To: "false", Run: "Surplus"},
		{Name: "sent in part counts as not sent", File: "connection.go", From: "w.state = attempt.PartlySent", To: "_ = n", Run: "Request_Cut"},
		{Name: "no look at the clock", File: "connection.go", From: "time.Until(w.notAfter) <= 0", To: "time.Until(w.notAfter) < -1<<62", Run: "FrozenPastNotAfter"},
		{Name: "reused before it was written", File: "reader.go", From: "case <-c.written: // an answer may come before its request was written completely", To: "default:\n\t\tgo func() { <-c.written }()", Run: "EarlyResponse"},
		{Name: "a cut body is complete", File: "reader.go", From: "if err != nil {\n\t\treturn errBodyCut", To: "if errors.Is(err, io.ErrShortWrite) {\n\t\treturn errBodyCut", Run: "Response_Cut"},
		{Name: "a cut event is an end", File: "events.go", From: "return nil, errEventCut // it is no end", To: "return nil, io.EOF", Run: "Response_Cut"},
		{Name: "a success without a seal", File: "reader.go", From: "return errNoSeal", To: "return nil", Run: "Response_Cut"},
		{Name: "a success not executed is a promise", File: "reader.go", From: "return errContradiction", To: "return nil", Run: "Response_Cut"},
		{Name: "any number is a status", File: "reader.go", From: "return errStatus", To: "return nil", Run: "Response_Cut"},
		{Name: "a dropped answer leaves its connection open", File: "response.go", From: "\t\tr.connection.Close()\n", To: "", Run: "Response_Cut"},
		{Name: "no limit on the bytes of a head", File: "intake.go", From: "i.headBytes > maxHeadBytes", To: "i.headBytes > 8*maxHeadBytes", Run: "Response_HeadWithoutEnd"},
		{Name: "no limit on the lines of a head", File: "intake.go", From: "i.headLines > maxHeadLines", To: "i.headLines > 64*maxHeadLines", Run: "Response_HeadWithoutEnd"},
		{Name: "any surplus body is skipped", File: "reader.go", From: "io.LimitReader(response.Body, maxSurplusBytes)", To: "io.LimitReader(response.Body, 4*maxSurplusBytes)", Run: "Response_SurplusBody"},
		{Name: "any framing is a body", File: "body.go", From: "r.in.bodyBytes > framingFactor*r.payload+framingBytes", To: "r.in.bodyBytes < 0", Run: "Response_ChunksOfOneByte"},
		{Name: "no limit on an event", File: "events.go", From: "if size > maxEventBytes {", To: "if size > 8*maxEventBytes {", Run: "Response_EventsWithoutEnd"},
		{Name: "memory for a body is not counted", File: "body.go", From: "for x.account.take(size-int64(cap(content))) == nil {", To: "for size > 0 {", Run: "DeliverPlain_"},
		{Name: "work is not paced", File: "events.go", From: "if !x.pace(1) {", To: "if x == nil {", Run: "Response_EventsOfOneReplica"},
		{Name: "framing costs nothing", File: "body.go", From: "units += int(framing / workFramingBytes)", To: "units += 0", Run: "DeliverPlain_SmallChunks"},
		{Name: "any number of events", File: "events.go", From: "number > x.request.MaxEvents", To: "number < 0", Run: "Response_MoreEvents"},
		{Name: "the reader runs ahead of its caller", File: "body.go", From: "if !x.awaitAhead(blockBytes) {", To: "if x == nil {", Run: "DeliverPlain_ManyLargeAnswers"},
		{Name: "memory is kept after the end", File: "response_memory.go", From: "\ta.ended = true\n\tif a.taken > 0 {", To: "\ta.ended = true\n\tif a.taken < 0 {", Run: "DeliverPlain_NobodyWantsIt"},
		{Name: "a body cut while memory is short is complete", File: "body.go", From: "if err == io.EOF {\n\t\t\treturn content, true, nil", To: "if err == io.EOF || err == io.ErrUnexpectedEOF {\n\t\t\treturn content, true, nil", Run: "DeliverPlain_Cut"},
		{Name: "closed before the end is delivered", File: "reader.go", From: "keep = c.pool.put(c)", To: "if keep = c.pool.put(c); !keep {\n\t\t\tc.Close()\n\t\t\t<-time.After(1)\n\t\t}", Run: "Overtakes"},
	})
}
