package handoff

import (
	"testing"

	"shaletrestle/internal/mutation"
)

// TestTheModelFindsMutants shows that each mechanism is needed and that the model sees when it is missing.
func TestTheModelFindsMutants(t *testing.T) {
	mutation.AllFound(t, []mutation.Mutation{
		{Name: "a go-ahead after the deadline", File: "owner.go", From: "now >= j.offerExpires || now >= j.deadline", To: "false", Run: "EveryOrder"},
		{Name: "run here after the deadline", File: "owner.go", From: "j.attempts < 1 || now >= j.deadline", To: "j.attempts < 1", Run: "EveryOrder"},
		{Name: "a go-ahead after the lease of the acceptance", File: "taker.go", From: "if now >= e.expires {", To: "if false {", Run: "EveryOrder"},
		{Name: "a lost run is forgotten", File: "owner.go", From: "\tj.mayHaveRun = true\n", To: "", Run: "EveryOrder"},
		{Name: "a promise while a go-ahead is open", File: "owner.go", From: "j.stage != remote && !j.mayHaveRun", To: "!j.mayHaveRun", Run: "EveryOrder"},
		{Name: "parts with a gap", File: "owner.go", From: "m.Number > j.parts+1 {", To: "false {", Run: "Schedules"},
		{Name: "an acceptance for an earlier offer", File: "owner.go", From: "j.peer == m.Peer && j.offerNumber == m.OfferNumber\n}", To: "j.peer == m.Peer\n}", Run: "EveryOrder"},
	})
}
