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

func TestABadExperimentEndsWithStatusTwoAndOneClearError(t *testing.T) {
	taken, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = taken.Close() }()
	port := taken.Addr().(*net.TCPAddr).Port
	for text, want := range map[string]string{
		"nodes: 3\n": "field nodes not found",
		"services: [{name: desk, replicas: -1}]\n":                                                  "services[desk].replicas must be 0 or more",
		"address: 127.0.0.1\nport: " + strconv.Itoa(port-2) + "\n":                                  "is taken",
		"ready_s: 0.05\nservices: [{name: desk, replicas: 1, start_s: 100}]\nkinds: []\nname: late": "replica desk-1 did not start within 50ms",
	} {
		file := filepath.Join(t.TempDir(), "x.yaml")
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		var out, errs bytes.Buffer
		require.Equal(t, badUse, run([]string{"run", file}, &out, &errs), want)
		require.Contains(t, errs.String(), want)
		require.Equal(t, 1, strings.Count(errs.String(), "\n"), errs.String())
	}
	var out, errs bytes.Buffer
	require.Equal(t, badUse, run([]string{"run", filepath.Join(t.TempDir(), "none.yaml")}, &out, &errs))
	require.Equal(t, badUse, run(nil, &out, &errs))
}

func TestAnExperimentThatIsServedEndsWithStatusZero(t *testing.T) {
	file := filepath.Join(t.TempDir(), "x.yaml")
	require.NoError(t, os.WriteFile(file, []byte("duration_s: 1\nservices: [{name: desk, replicas: 1}]\nkinds: [{name: a, service: desk, type: idempotent, per_s: 10}]\n"), 0o600))
	lines := filepath.Join(t.TempDir(), "x.jsonl")
	var out, errs bytes.Buffer
	require.Equal(t, fine, run([]string{"run", "-j", lines, file}, &out, &errs), errs.String())
	require.Contains(t, out.String(), "rules broken: 0")
	b, err := os.ReadFile(lines)
	require.NoError(t, err)
	require.Contains(t, string(b), `"is":"summary"`)
}
