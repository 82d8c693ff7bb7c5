package settings

import (
	"io/fs"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/placement"
)

// valid are settings that any program takes.
const valid = `
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

// mustParse reads settings that must be valid.
func mustParse(t *testing.T, text string, roles Roles) *Settings {
	t.Helper()
	parsed, err := Parse([]byte(text), roles)
	require.NoError(t, err)
	return parsed
}

func TestParse_ValidSettings_UnknownKeysAreIgnored(t *testing.T) {
	parsed := mustParse(t, valid, Roles{Frontend: true, Control: true})
	require.Equal(t, "10.1.0.13:7720", parsed.Port(0))
	require.Equal(t, []string{"10.1.0.13:7720", "10.2.0.30:7720"}, parsed.SeedMembers())
	require.Equal(t, "10.2.0.30:83", parsed.ControlAddress("10.2.0.30:7720"))
}

func TestParse_PlacementLeftOut_HasDefaults(t *testing.T) {
	require.Equal(t, placement.Defaults(), mustParse(t, valid, Roles{}).Placement)
	parsed := mustParse(t, valid+"placement: {prefill_load_scale: 3, count_active: false}\n", Roles{})
	want := placement.Defaults()
	want.PrefillLoadScale, want.CountActive = 3, false
	require.Equal(t, want, parsed.Placement)
}

func TestParse_LongWork_IsOffUnlessAskedFor(t *testing.T) {
	for _, x := range []struct {
		name, text string
		want       LongWork
	}{
		{"left out", valid, LongWork{PatientTargets: 8, HeavyTargets: 4, MaxAcceptedJobs: 4}},
		{"asked for", valid + "long_work: {enabled: true, takes: 9, other_zones: true}\n",
			LongWork{Enabled: true, PatientTargets: 8, HeavyTargets: 4, MaxAcceptedJobs: 9, OtherZones: true}},
	} {
		require.Equal(t, x.want, mustParse(t, x.text, Roles{Frontend: true}).LongWork, x.name)
	}
}

func TestParse_InvalidSettings_ErrorNamesTheKey(t *testing.T) {
	for _, x := range []struct{ old, new, want string }{
		{`node_name: "edge-1"`, ``, "node_name"},
		{`ip: "10.1.0.13"`, `ip: "nowhere"`, "ip"},
		{`[7720, 7735]`, `[7720]`, "internal_port_range"},
		{`["10.1.0.13:83", "10.2.0.30:83"]`, `[]`, "seed_nodes"},
		{`"10.2.0.30:83"`, `"10.2.0.30"`, "seed_nodes[1]"},
		{`memory_mb: 244`, `memory_mb: 0`, "limits.memory_mb"},
		{`front: "10.1.0.13:81", `, ``, "bind_addresses.front"},
		{`contact_ms: 3000`, `contact_ms: -1`, "bounds.contact_ms"},
		{`contact_ms: 3000, `, ``, "bounds.contact_ms"},
		{`data_dir: "/data/x"`, ``, "data_dir"},
		{`a_later_field: 7`, `fault_tolerance: {machine_losses: -1}`, "fault_tolerance"},
		{`a_later_field: 7`, `fault_tolerance: {zones: 99}`, "fault_tolerance"},
		{`a_later_field: 7`, `placement: {overlap_credit: -1}`, "placement.overlap_credit"},
		{`a_later_field: 7`, `placement: {block_tokens: 0}`, "placement.block_tokens"},
		{`a_later_field: 7`, `long_work: {heavy: -1}`, "long_work.heavy"},
		{`a_later_field: 7`, `long_work: {patient: .inf}`, "long_work.patient"},
		{`a_later_field: 7`, `long_work: {takes: 9999}`, "long_work.takes"},
	} {
		t.Run(x.want, func(t *testing.T) {
			text := strings.Replace(valid, x.old, x.new, 1)
			require.NotEqual(t, valid, text)
			_, err := Parse([]byte(text), Roles{Frontend: true, Control: true})
			var invalid *InvalidError
			require.ErrorAs(t, err, &invalid)
			require.Equal(t, x.want, invalid.Key)
			require.Contains(t, err.Error(), "settings: "+x.want+" ")
		})
	}
}

func TestParse_OutOfBounds_ErrorSaysTheBounds(t *testing.T) {
	for _, x := range []struct{ old, new, want string }{
		{`[7720, 7735]`, `[7720, 7722]`, "settings: internal_port_range must be the first and the last of at least 4 ports"},
		{`a_later_field: 7`, `long_work: {heavy: -1}`, "settings: long_work.heavy must be a number of 0 or more"},
		{`a_later_field: 7`, `long_work: {patient: .nan}`, "settings: long_work.patient must be a number of 0 or more"},
		{`a_later_field: 7`, `long_work: {takes: 257}`, "settings: long_work.takes must be between 0 and 256"},
	} {
		t.Run(x.new, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(valid, x.old, x.new, 1)), Roles{Frontend: true, Control: true})
			require.EqualError(t, err, x.want)
		})
	}
	mustParse(t, strings.Replace(valid, `[7720, 7735]`, `[7720, 7723]`, 1), Roles{Frontend: true, Control: true})
}

func TestParse_NoYAML_IsInvalid(t *testing.T) {
	_, err := Parse([]byte(strings.Replace(valid, "bounds:", "bounds: [", 1)), Roles{Frontend: true, Control: true})
	var invalid *InvalidError
	require.ErrorAs(t, err, &invalid)
	require.ErrorContains(t, err, "settings file: ")
}

func TestSettings_HasDisk_QuorumMembersOnly(t *testing.T) {
	for _, x := range []struct {
		name, text string
		want       bool
	}{
		{"quorum member", valid, true},
		{"neither", strings.NewReplacer(`data_dir: "/data/x"`, "", "quorum_member: true", "quorum_member: false").Replace(valid), false},
		{"a disk alone", strings.Replace(valid, "quorum_member: true", "quorum_member: false", 1), false},
	} {
		require.Equal(t, x.want, mustParse(t, x.text, Roles{Control: true}).HasDisk(), x.name)
	}
}

func TestSettings_MaxFailures_CoversZonesAndRegions(t *testing.T) {
	three := map[string]string{"a": "r", "b": "r", "c": "r"}
	five := map[string]string{"a": "r", "b": "r", "c": "r", "d": "r", "e": "r"}
	for _, x := range []struct {
		zones         map[string]string
		tolerance     Tolerance
		want          int
		wantTolerable bool
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
		got, tolerable := (&Settings{Zones: x.zones, Tolerance: x.tolerance}).MaxFailures()
		require.Equal(t, x.want, got, "%+v", x)
		require.Equal(t, x.wantTolerable, tolerable, "%+v", x)
	}
}

func TestLoadFile_ExampleSettings_AreValid(t *testing.T) {
	parsed, err := LoadFile("../../docs/example/node.yaml", Roles{Frontend: true, Control: true})
	require.NoError(t, err)
	require.True(t, parsed.HasDisk(), "one member that keeps the state")
	failures, tolerable := parsed.MaxFailures()
	require.True(t, tolerable)
	require.Zero(t, failures)
}

func TestLoadFile_NoSuchFile_Fails(t *testing.T) {
	_, err := LoadFile("nowhere.yaml", Roles{})
	require.ErrorIs(t, err, fs.ErrNotExist)
}
