package main

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// runWith runs the command and gives its exit code and what it printed.
func runWith(args ...string) (code exitCode, out, errs string) {
	var outBuffer, errsBuffer bytes.Buffer
	code = run(args, &outBuffer, &errsBuffer)
	return code, outBuffer.String(), errsBuffer.String()
}

func writeExperiment(t *testing.T, text string) (file string) {
	t.Helper()
	file = filepath.Join(t.TempDir(), "x.yaml")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func TestRun_BadExperiment_ExitsWithUsageAndOneClearError(t *testing.T) {
	taken, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = taken.Close() }()
	port := taken.Addr().(*net.TCPAddr).Port
	for _, c := range []struct{ name, text, want string }{
		{"unknown field", "nodes: 3\n", "field nodes not found"},
		{"negative number", "services: [{name: desk, replicas: -1}]\n", "services[desk].replicas must be 0 or more"},
		{"address in use", "address: 127.0.0.1\nport: " + strconv.Itoa(port-2) + "\n", "is taken"},
		{
			"replica that starts too late",
			"ready_s: 0.05\nservices: [{name: desk, replicas: 1, start_s: 100}]\nkinds: []\nname: late",
			"replica desk-1 did not start within 50ms",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			code, _, errs := runWith("run", writeExperiment(t, c.text))
			require.Equal(t, exitUsage, code, c.want)
			require.Contains(t, errs, c.want)
			require.Equal(t, 1, strings.Count(errs, "\n"), errs)
		})
	}
}

func TestRun_BadCommandLine_ExitsWithUsage(t *testing.T) {
	for _, c := range []struct {
		name string
		args []string
	}{
		{"missing file", []string{"run", filepath.Join(t.TempDir(), "none.yaml")}},
		{"no subcommand", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			code, _, _ := runWith(c.args...)
			require.Equal(t, exitUsage, code)
		})
	}
}

func TestRun_ServedExperiment_ExitsWithOK(t *testing.T) {
	file := writeExperiment(t, "duration_s: 1\nservices: [{name: desk, replicas: 1}]\nkinds: [{name: a, service: desk, type: idempotent, per_s: 10}]\n")
	lines := filepath.Join(t.TempDir(), "x.jsonl")
	code, out, errs := runWith("run", "-j", lines, file)
	require.Equal(t, exitOK, code, errs)
	require.Contains(t, out, "rules broken: 0")
	b, err := os.ReadFile(lines)
	require.NoError(t, err)
	require.Contains(t, string(b), `"is":"summary"`)
}
