package handoff

import (
	"testing"

	"shaletrestle/internal/mutation"
)

// TestTheModelFindsMutants shows that each mechanism is needed and that the model sees when it is missing.
func TestTheModelFindsMutants(t *testing.T) {
	mutation.AllFound(t, []mutation.Mutation{
		{Name: "a go-ahead after the deadline", File: "owner.go", From: "now >= j.until || now >= j.deadline", To: "false", Run: "EveryOrder"},
		{Name: "run here after the deadline", File: "owner.go", From: "j.shots < 1 || now >= j.deadline", To: "j.shots < 1", Run: "EveryOrder"},
		{Name: "a go-ahead after the lease of the acceptance", File: "taker.go", From: "if now >= e.until {", To: "if false {", Run: "EveryOrder"},
		{Name: "a lost run is forgotten", File: "owner.go", From: "\tj.lost = true\n", To: "", Run: "EveryOrder"},
		{Name: "a promise while a go-ahead is open", File: "owner.go", From: "j.stage != gone && !j.lost", To: "!j.lost", Run: "EveryOrder"},
		{Name: "parts with a gap", File: "owner.go", From: "m.Number == j.parts+1", To: "m.Number > j.parts", Run: "Schedules"},
		{Name: "an acceptance for an earlier offer", File: "owner.go", From: "j.to == m.Peer && j.turn == m.OfferNumber\n}", To: "j.to == m.Peer\n}", Run: "EveryOrder"},
	})
}
