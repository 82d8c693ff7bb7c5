package core

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRegister_JSON_KeepsStoredKeys holds the keys under which stores have kept registers since the first release.
func TestRegister_JSON_KeepsStoredKeys(t *testing.T) {
	view := &View{
		Epoch: 3, Ballot: 4, Primary: Member{ID: 1, Address: "a:1", Zone: "z"},
		Witnesses: []Member{{ID: 1, Address: "a:1", Zone: "z"}},
		Backups:   []Member{{ID: 2, Address: "b:1", Zone: "y"}},
		Base:      Position{Index: 5, Digest: 6},
	}
	stored := `{"View":{"Epoch":3,"Ballot":4,"Witnesses":[{"ID":1,"Address":"a:1","Zone":"z"}],` +
		`"Primary":{"ID":1,"Address":"a:1","Zone":"z"},"Backups":[{"ID":2,"Address":"b:1","Zone":"y"}],` +
		`"Base":{"Index":5,"Digest":6}},"Promised":7,"AcceptedBallot":8,"Accepted":null}`
	register := Register{View: view, Promised: 7, AcceptedBallot: 8}
	written, err := json.Marshal(register)
	require.NoError(t, err)
	require.Equal(t, stored, string(written))
	var read Register
	require.NoError(t, json.Unmarshal([]byte(stored), &read))
	require.Equal(t, register, read)
}
