package emulator

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/errkind"
	"shaletrestle/internal/settings"
)

func quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }

// leftovers lists what experiments left in the temporary folder.
func leftovers(t *testing.T) []string {
	t.Helper()
	m, err := filepath.Glob(filepath.Join(os.TempDir(), "emulator-*"))
	require.NoError(t, err)
	return m
}

func TestRun_Demo_ServesAllAndLeavesNothing(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	x, err := Demo()
	require.NoError(t, err)
	x.DurationS = 1
	pool, err := newAddressPool("", 0)
	require.NoError(t, err)
	x.Address, x.Port = pool.ip(0), pool.port
	var lines, progress bytes.Buffer
	plots := t.TempDir()
	s, err := Run(t.Context(), quiet(), x, Output{Lines: &lines, Progress: &progress, Plots: plots})
	require.NoError(t, err)
	require.Empty(t, s.Rules)
	require.True(t, s.IsComplete(), "%+v\n%s", s, lines.String())
	require.Len(t, s.Rows, 3)
	require.Equal(t, x.requestCount(), strings.Count(lines.String(), `"is":"request"`))
	require.FileExists(t, filepath.Join(plots, "latency.svg"))
	require.FileExists(t, filepath.Join(plots, "outcomes.png"))
	require.FileExists(t, filepath.Join(plots, "memory.svg"))
	var table bytes.Buffer
	require.NoError(t, s.Write(&table))
	require.Contains(t, table.String(), "p99 ms")
	require.Empty(t, leftovers(t))
	for n := range uint32(9) { // platform, five replicas, three daemons
		for offset := range 8 {
			listener, err := listen(pool.address(pool.ip(n), offset))
			require.NoError(t, err, "everything was closed")
			_ = listener.Close()
		}
	}
}

func TestRun_Faults_BreakNoRule(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	x, err := Parse([]byte(`
duration_s: 2
fleet: {controllers: 3, routers: 2, zones: [a, b, c], machine_losses: 1, zone_delay_ms: 2}
changes_per_minute: 120
services:
  - {name: desk, replicas: 5}
  - {name: model, replicas: 3, engine: {}}
kinds:
  - {name: lookup, service: desk, type: idempotent, per_s: 40, timeout_ms: 2000}
  - {name: order, service: desk, type: non_idempotent, per_s: 30, timeout_ms: 2000}
  - {name: chat, service: model, type: streaming, per_s: 8, timeout_ms: 2000, tokens_in: 400, tokens_out: 12, prefixes: 3}
  - {name: tale, service: model, type: streaming, resume: true, per_s: 8, timeout_ms: 2000, tokens_in: 400, tokens_out: 12}
troubles:
  - {at_s: 0.2, for_s: 1, replica: desk-1, how: grey}
  - {at_s: 0.3, for_s: 1, replica: desk-2, how: reset}
  - {at_s: 0.4, for_s: 1, replica: desk-3, how: lying}
  - {at_s: 0.5, for_s: 0.5, replica: desk-4, how: dark}
  - {at_s: 0.3, for_s: 0.5, replica: model-1, how: crash}
  - {at_s: 0.6, for_s: 1, replica: model-2, how: drain}
  - {at_s: 0.1, for_s: 0.4, replica: model-3, how: cold}
  - {at_s: 0.9, for_s: 1, replica: desk-5, how: flap}
`))
	require.NoError(t, err)
	var lines bytes.Buffer
	s, err := Run(t.Context(), quiet(), x, Output{Lines: &lines})
	require.NoError(t, err)
	require.Empty(t, s.Rules)
	all, served := 0, 0
	for _, r := range s.Rows {
		all += r.Sent
		served += r.Served
		require.Equal(t, r.Sent, r.Served+r.Rejected+r.Failed)
	}
	require.Equal(t, x.requestCount(), all)
	require.Positive(t, served)
	require.Equal(t, 8, strings.Count(lines.String(), `"is":"trouble"`))
	require.Empty(t, leftovers(t))
}

func TestRun_Interrupted_SummarizesAndCleansUp(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	x, err := Demo()
	require.NoError(t, err)
	x.DurationS, x.Kinds[0].Count = 300, 0
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	got := make(chan struct{}, 1)
	go func() { <-got; cancel() }()
	s, err := Run(ctx, quiet(), x, Output{Lines: firstRequest(got)})
	require.NoError(t, err)
	require.True(t, s.Interrupted)
	for _, r := range s.Rows {
		require.Equal(t, r.Sent, r.Served, "what was cut off is not counted")
	}
	require.False(t, s.IsComplete())
	require.Empty(t, leftovers(t))
}

// firstRequest signals that the first result was written.
type firstRequest chan struct{}

func (f firstRequest) Write(b []byte) (int, error) {
	select {
	case f <- struct{}{}:
	default:
	}
	return len(b), nil
}

func TestRun_CannotStart_IsOneClearError(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	pool, err := newAddressPool("", 0)
	require.NoError(t, err)
	occupied := pool.address(pool.ip(1), portReplica)
	listener, err := listen(occupied)
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	x, err := Parse([]byte(good))
	require.NoError(t, err)
	x.Address, x.Port = pool.ip(0), pool.port
	_, err = Run(t.Context(), quiet(), x, Output{})
	require.ErrorContains(t, err, occupied+" is taken")
	require.Equal(t, errkind.InvalidSettings, errkind.KindOf(err))

	x, err = Parse([]byte(good))
	require.NoError(t, err)
	x.Services[1].StartS, x.ReadyS = 3600, 0.05
	_, err = Run(t.Context(), quiet(), x, Output{})
	require.ErrorContains(t, err, "replica model-1 did not start within 50ms")
	require.Empty(t, leftovers(t))
}

func TestDaemons_StatePorts_ServeListedMetrics(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	x, err := Demo()
	require.NoError(t, err)
	bed, err := newTestbed(t.Context(), quiet(), x)
	require.NoError(t, err)
	defer bed.close()
	require.NoError(t, bed.startDaemons())
	_, err = bed.operator.put(bed.ctx, x.configuration(), defaultReadyTimeout)
	require.NoError(t, err)
	require.NoError(t, bed.awaitRouters(bed.routers))
	page, err := os.ReadFile("../../docs/metrics.md")
	require.NoError(t, err)
	for at, want := range map[string]string{
		bed.addresses.address(bed.routers[0].ip, settings.RouterStatePortOffset):      "router_config_revision 1\n",
		bed.addresses.address(bed.controllers[0].ip, settings.ControlStatePortOffset): "controller_primary 1\n",
	} {
		a, err := probes.Get("http://" + at + "/metrics")
		require.NoError(t, err)
		b, err := io.ReadAll(a.Body)
		require.NoError(t, err)
		_ = a.Body.Close()
		require.Contains(t, string(b), want)
		for line := range strings.Lines(string(b)) {
			if f := strings.Fields(line); f[0] == "#" {
				require.Contains(t, string(page), "`"+f[2]+"`", "listed on the page")
			}
		}
	}
}

func TestRuleChecker_BrokenRule_IsCounted(t *testing.T) {
	for _, c := range []struct {
		rule      string
		breakRule func(*ruleChecker)
	}{
		{"TWICE", func(rules *ruleChecker) { rules.recordRun("a", "s1"); rules.recordRun("a", "s2") }},
		{"MIXED", func(rules *ruleChecker) { rules.recordRun("a", "s1"); rules.checkSuccess("a", "s2", true) }},
		{"REFUSED", func(rules *ruleChecker) { rules.recordRun("a", "s1"); rules.checkRejection("a") }},
		{"UNASKED", func(rules *ruleChecker) { rules.recordArrival("a", "POST /y changed") }},
	} {
		t.Run(c.rule, func(t *testing.T) {
			rules := newRuleChecker()
			rules.recordSent("a", true, "POST /x body")
			rules.recordArrival("a", "POST /x body")
			count, _ := rules.result()
			require.Zero(t, count)
			c.breakRule(rules)
			count, violations := rules.result()
			require.Equal(t, 1, count)
			require.Contains(t, violations[0], c.rule)
		})
	}
}

func TestRuleChecker_IdempotentRunsAgain_BreaksNoRule(t *testing.T) {
	rules := newRuleChecker()
	rules.recordSent("a", false, "")
	rules.recordRun("a", "s1")
	rules.recordRun("a", "s2")
	rules.checkSuccess("a", "s2", true)
	count, _ := rules.result()
	require.Zero(t, count)
}
