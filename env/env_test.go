package env

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/fault"
	"shaletrestle/plate"
)

const good = `
node_name: "edge-1"
ip: "10.1.0.13"
zone: "north"
bind_addresses: {front: "10.1.0.13:81", readiness: "10.1.0.13:82", control: "10.1.0.13:83"}
internal_port_range: [7720, 7735]
seed_nodes: ["10.1.0.13:83", "10.2.0.30:83"]
limits: {memory_mb: 244}
data_dir: "/data/x"
bounds: {contact_ms: 3000, drain_ms: 3000}
cloud_api: {address: "10.200.0.79:8169"}
a_later_field: 7
`

func TestParseTakesGoodAndUnknown(t *testing.T) {
	e, err := Parse([]byte(good), Need{Front: true, Control: true})
	require.NoError(t, err)
	require.Equal(t, "10.1.0.13:7720", e.Port(0))
	require.Equal(t, []string{"10.1.0.13:7720", "10.2.0.30:7720"}, e.SeedCrew())
	require.Equal(t, "10.2.0.30:83", e.ControlAddr("10.2.0.30:7720"))
}

func TestLongWorkIsOffUnlessAskedFor(t *testing.T) {
	e, err := Parse([]byte(good), Need{Front: true})
	require.NoError(t, err)
	require.Equal(t, LongWork{Patient: plate.LongPatient, Heavy: plate.LongHeavy, Takes: plate.LongTakes}, e.LongWork)
	e, err = Parse([]byte(good+"long_work: {enabled: true, takes: 9, other_zones: true}\n"), Need{Front: true})
	require.NoError(t, err)
	require.Equal(t, LongWork{Enabled: true, Patient: plate.LongPatient, Heavy: plate.LongHeavy, Takes: 9, OtherZones: true}, e.LongWork)
}

func TestParseNamesWhatIsWrong(t *testing.T) {
	for _, x := range []struct{ old, now, want string }{
		{`node_name: "edge-1"`, ``, "node_name"},
		{`ip: "10.1.0.13"`, `ip: "nowhere"`, "ip"},
		{`[7720, 7735]`, `[7720]`, "internal_port_range"},
		{`["10.1.0.13:83", "10.2.0.30:83"]`, `[]`, "seed_nodes"},
		{`"10.2.0.30:83"`, `"10.2.0.30"`, "seed_nodes[1]"},
		{`memory_mb: 244`, `memory_mb: 0`, "memory_mb"},
		{`front: "10.1.0.13:81", `, ``, "bind_addresses.front"},
		{`contact_ms: 3000`, `contact_ms: -1`, "contact_ms"},
		{`data_dir: "/data/x"`, ``, "data_dir"},
		{`bounds:`, `bounds: [`, "settings file"},
		{`a_later_field: 7`, `long_work: {heavy: -1}`, "long_work.heavy"},
		{`a_later_field: 7`, `long_work: {patient: .inf}`, "long_work.patient"},
		{`a_later_field: 7`, `long_work: {takes: 9999}`, "long_work.takes"},
	} {
		_, err := Parse([]byte(strings.Replace(good, x.old, x.now, 1)), Need{Front: true, Control: true})
		require.Error(t, err, x.want)
		require.Contains(t, err.Error(), x.want)
		require.Equal(t, fault.BadEnv, fault.KindOf(err))
	}
}
