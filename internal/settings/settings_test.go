package settings

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/errkind"
	"shaletrestle/internal/placement"
)

const good = `
node_name: "edge-1"
ip: "10.1.0.13"
zone: "north"
bind_addresses: {front: "10.1.0.13:81", readiness: "10.1.0.13:82", control: "10.1.0.13:83"}
internal_port_range: [7720, 7735]
seed_nodes: ["10.1.0.13:83", "10.2.0.30:83"]
limits: {memory_mb: 244}
quorum_member: true
data_dir: "/data/x"
bounds: {contact_ms: 3000, drain_ms: 3000}
cloud_api: {address: "10.200.0.79:8169"}
a_later_field: 7
`

func TestParseTakesGoodAndUnknown(t *testing.T) {
	e, err := Parse([]byte(good), Need{Front: true, Control: true})
	require.NoError(t, err)
	require.Equal(t, "10.1.0.13:7720", e.Port(0))
	require.Equal(t, []string{"10.1.0.13:7720", "10.2.0.30:7720"}, e.SeedMembers())
	require.Equal(t, "10.2.0.30:83", e.ControlAddress("10.2.0.30:7720"))
}

func TestPlacementOptionsHaveDefaults(t *testing.T) {
	e, err := Parse([]byte(good), Need{})
	require.NoError(t, err)
	require.Equal(t, placement.Defaults(), e.Placement)
	e, err = Parse([]byte(good+"placement: {prefill_load_scale: 3, count_active: false}\n"), Need{})
	require.NoError(t, err)
	want := placement.Defaults()
	want.PrefillLoadScale, want.CountActive = 3, false
	require.Equal(t, want, e.Placement)
}

func TestLongWorkIsOffUnlessAskedFor(t *testing.T) {
	e, err := Parse([]byte(good), Need{Front: true})
	require.NoError(t, err)
	require.Equal(t, LongWork{PatientTargets: longPatient, HeavyTargets: longHeavy, MaxAcceptedJobs: longTakes}, e.LongWork)
	e, err = Parse([]byte(good+"long_work: {enabled: true, takes: 9, other_zones: true}\n"), Need{Front: true})
	require.NoError(t, err)
	require.Equal(t, LongWork{Enabled: true, PatientTargets: longPatient, HeavyTargets: longHeavy, MaxAcceptedJobs: 9, OtherZones: true}, e.LongWork)
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
		{`a_later_field: 7`, `fault_tolerance: {machine_losses: -1}`, "fault_tolerance"},
		{`a_later_field: 7`, `fault_tolerance: {zones: 99}`, "fault_tolerance"},
		{`bounds:`, `bounds: [`, "settings file"},
		{`a_later_field: 7`, `placement: {overlap_credit: -1}`, "placement.overlap_credit"},
		{`a_later_field: 7`, `placement: {block_tokens: 0}`, "placement.block_tokens"},
		{`a_later_field: 7`, `long_work: {heavy: -1}`, "long_work.heavy"},
		{`a_later_field: 7`, `long_work: {patient: .inf}`, "long_work.patient"},
		{`a_later_field: 7`, `long_work: {takes: 9999}`, "long_work.takes"},
	} {
		_, err := Parse([]byte(strings.Replace(good, x.old, x.now, 1)), Need{Front: true, Control: true})
		require.Error(t, err, x.want)
		require.Contains(t, err.Error(), x.want)
		require.Equal(t, errkind.InvalidSettings, errkind.KindOf(err))
	}
}

func TestAMachineWithoutADiskKeepsNothing(t *testing.T) {
	for _, x := range []struct {
		yaml string
		want bool
	}{
		{good, true},
		{strings.NewReplacer(`data_dir: "/data/x"`, "", "quorum_member: true", "quorum_member: false").Replace(good), false},
		{strings.Replace(good, "quorum_member: true", "quorum_member: false", 1), false},
	} {
		e, err := Parse([]byte(x.yaml), Need{Control: true})
		require.NoError(t, err)
		require.Equal(t, x.want, e.HasDisk())
	}
}

func TestLossesCoverZonesAndRegions(t *testing.T) {
	three, five := map[string]string{"a": "r", "b": "r", "c": "r"}, map[string]string{"a": "r", "b": "r", "c": "r", "d": "r", "e": "r"}
	for _, x := range []struct {
		zones map[string]string
		tol   Tolerance
		want  int
		ok    bool
	}{
		{three, Tolerance{1, 1, 0}, 1, true},
		{three, Tolerance{2, 1, 0}, 2, true},
		{five, Tolerance{2, 1, 0}, 2, true},
		{five, Tolerance{1, 2, 0}, 2, true},
		{five, Tolerance{3, 2, 0}, 4, true}, // seven witnesses lie two in some zones
		{three, Tolerance{1, 2, 0}, 2, false},
		{map[string]string{"a": "r", "b": "r"}, Tolerance{1, 1, 0}, 1, false},
		{map[string]string{"a": "r", "b": "s", "c": "t"}, Tolerance{1, 1, 1}, 1, true},
		{three, Tolerance{1, 0, 1}, 1, false},
		{three, Tolerance{}, 0, true},
	} {
		n, ok := (&Settings{Zones: x.zones, Tolerance: x.tol}).Losses()
		require.Equal(t, x.want, n, "%+v", x)
		require.Equal(t, x.ok, ok, "%+v", x)
	}
}

func TestTheExampleSettingsServeAsTheyAre(t *testing.T) {
	e, err := LoadFile("../../docs/example/node.yaml", Need{Front: true, Control: true})
	require.NoError(t, err)
	require.True(t, e.HasDisk(), "one member that keeps the state")
	n, ok := e.Losses()
	require.True(t, ok)
	require.Zero(t, n)
}
