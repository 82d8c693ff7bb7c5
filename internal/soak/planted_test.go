package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/mutation"
)

const (
	plantedSeeds    = 4 // runs at most until a planted fault must be found
	plantedDuration = 30 * time.Second
)

// plantedFault is a wrong version of the daemons and the rules by which a run may name it.
type plantedFault struct {
	name   string
	places []mutation.Replacement
	rules  []Rule
}

var plantedFaults = []plantedFault{
	{
		"everything may be repeated",
		[]mutation.Replacement{place("coord/attempt/attempt.go", "return idempotent || !h.MayHaveRun()", "return true")},
		[]Rule{RuleTwice, RuleInvariant},
	},
	{
		"what may have run is rejected",
		[]mutation.Replacement{place("coord/attempt/attempt.go", "return s == PartlySent || s == Sent || s == Answered", "return s == Answered")},
		[]Rule{RuleRefused, RuleTwice, RuleInvariant},
	},
	{
		"signals are not handled while starting",
		[]mutation.Replacement{place("internal/daemon/reload.go", "	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)\n", "	time.AfterFunc(5*time.Second, func() { signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP) })\n")},
		[]Rule{RuleEnded, RuleGraceMissed},
	},
	{
		"an entry is acknowledged without its backups",
		[]mutation.Replacement{place("coord/replication/core/write.go", "if len(w.ackedBackups) < len(c.register.View.Backups) {", "if false {")},
		[]Rule{RuleConfig, RuleRepeat, RuleInvariant, RuleBack, RuleApply},
	},
	{
		"a read is not confirmed",
		[]mutation.Replacement{place("internal/controller/changes.go", "	if err := c.member.Read(deadline, look); err != nil {\n", "	look()\n	if err := error(nil); err != nil {\n")},
		[]Rule{RuleConfig, RuleInvariant},
	},
	{
		"a router forgets a request's end",
		[]mutation.Replacement{place("internal/router/attempt.go", "	defer req.router.placer.Release(placed)\n", "")},
		[]Rule{RuleInvariant, RuleHang, RuleRecover},
	},
}

// TestSoak_PlantedFaults_AreFound shows for each planted fault that a run finds it, by a rule that fits.
func TestSoak_PlantedFaults_AreFound(t *testing.T) {
	if !*soakPlanted {
		t.Skip("with -soak.planted only: it needs minutes and builds the daemons")
	}
	for _, fault := range plantedFaults {
		t.Run(fault.name, func(t *testing.T) {
			bin := t.TempDir()
			require.NoError(t, Build(BuildOptions{Root: "../..", Dir: bin, Planted: fault.places}))
			for seed := range uint64(plantedSeeds) {
				report, err := Execute(t.Context(), Options{Seed: 500 + seed, Duration: plantedDuration, Overlap: 3, Clients: 12, Dir: t.TempDir(), Bin: bin})
				require.NoError(t, err)
				for _, rule := range fault.rules {
					if report.Counts[rule] > 0 {
						t.Logf("found by seed %d: %v", 500+seed, report.Counts)
						return
					}
				}
				t.Logf("not found by seed %d: %v", 500+seed, report.Counts)
			}
			t.Error("no run found it")
		})
	}
}
