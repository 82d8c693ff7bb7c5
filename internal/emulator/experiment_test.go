package emulator

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/errkind"
)

const good = `
name: small
duration_s: 1
services:
  - {name: desk, replicas: 2}
  - {name: model, replicas: 1, engine: {memory_tokens: 1000}}
kinds:
  - {name: lookup, service: desk, type: idempotent, per_s: 10}
troubles:
  - {at_s: 0.1, for_s: 0.2, replica: desk-1, how: grey}
`

func TestParse_GoodExperiment_GetsDefaults(t *testing.T) {
	x, err := Parse([]byte(good))
	require.NoError(t, err)
	require.Equal(t, 1, x.Fleet.Routers)
	require.Positive(t, x.Services[1].Engine.PrefillPerS)
	require.Equal(t, 10, x.requestCount())
	_, err = Demo()
	require.NoError(t, err)
}

// The keys of the lines of results are read by others.
func TestFault_AsJSON_KeepsItsKeys(t *testing.T) {
	got, err := json.Marshal(Fault{AtS: 1, ForS: 2, Replica: "desk-1", Kind: Grey})
	require.NoError(t, err)
	require.JSONEq(t, `{"AtS":1,"ForS":2,"Replica":"desk-1","How":"grey"}`, string(got))
}

func TestParse_BadExperiment_NamesWhatIsWrong(t *testing.T) {
	for _, c := range []struct{ name, old, now, want string }{
		{"unknown field", "name: small", "nmae: small", "field nmae not found"},
		{"unknown field of an engine", "engine: {memory_tokens", "engine: {memory", "field memory not found"},
		{"negative replicas", "replicas: 2", "replicas: -2", "services[desk].replicas must be 0 or more"},
		{"negative rate", "per_s: 10", "per_s: -1", "kinds[lookup].per_s must be 0 or more"},
		{"rate that is no number", "per_s: 10", "per_s: .nan", "kinds[lookup].per_s must be 0 or more"},
		{"rate above its bound", "per_s: 10", "per_s: 1e9", "must be at most"},
		{"negative count", "per_s: 10", "count: -3", "kinds[lookup].count must be 0 or more"},
		{"unknown service", "service: desk", "service: disk", "is not among the services: disk"},
		{"unknown type", "type: idempotent", "type: twice", "kinds[lookup].type"},
		{"unknown replica", "replica: desk-1", "replica: desk-3", "troubles.replica names none: desk-3"},
		{"unknown fault", "how: grey", "how: blue", "troubles.how"},
		{"same name twice", "name: model", "name: desk", "names desk twice"},
		{"word for a number", "duration_s: 1", "duration_s: one", "cannot unmarshal"},
		{"address beyond the machine", "duration_s: 1", "address: 10.0.0.1", "must be a loopback address"},
		{"losses with too few controllers", "duration_s: 1", "fleet: {machine_losses: 1}", "needs three controllers"},
		{"empty file", good, "", "is empty"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(good, c.old, c.now, 1)))
			require.Error(t, err, c.want)
			require.Contains(t, err.Error(), c.want)
			require.Equal(t, errkind.InvalidSettings, errkind.KindOf(err))
			require.NotContains(t, err.Error(), "\n", "one clear line")
		})
	}
}
