package daemon

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/settings"
)

// exampleFile copies the example settings to a file of the test.
func exampleFile(t *testing.T) string {
	t.Helper()
	content, err := os.ReadFile("../../docs/example/node.yaml")
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "node.yaml")
	require.NoError(t, os.WriteFile(file, content, 0o600))
	return file
}

// fakeDaemon records the settings that it gets.
type fakeDaemon struct{ reloaded []*settings.Settings }

func (*fakeDaemon) Run() error                      { return nil }
func (*fakeDaemon) Shutdown()                       {}
func (d *fakeDaemon) Reload(env *settings.Settings) { d.reloaded = append(d.reloaded, env) }

func TestOptions_Load_CommandLineOverridesLongWork(t *testing.T) {
	for _, x := range []struct {
		longWork                string
		wantEnabled, wantAlways bool
	}{
		{"", false, false},
		{longWorkOff, false, false},
		{longWorkOn, true, false},
		{longWorkAlways, true, true},
	} {
		require.True(t, validLongWork(x.longWork))
		o := &options{file: exampleFile(t), longWork: x.longWork, roles: settings.Roles{Frontend: true}}
		env, err := o.load()
		require.NoError(t, err)
		require.Equal(t, x.wantEnabled, env.LongWork.Enabled, x.longWork)
		require.Equal(t, x.wantAlways, env.LongWork.Always, x.longWork)
	}
	require.False(t, validLongWork("sometimes"))
}

func TestReloader_InvalidSettings_AreLoggedAndNotApplied(t *testing.T) {
	file := exampleFile(t)
	var lines bytes.Buffer
	daemon := &fakeDaemon{}
	r := newReloader(func() {}, slog.New(slog.NewTextHandler(&lines, nil)), daemon, &startup{options: &options{file: file}})
	r.reload()
	require.Len(t, daemon.reloaded, 1)
	require.Equal(t, "trial", daemon.reloaded[0].NodeName)
	require.Equal(t, fileStamp(file), r.loaded)

	require.NoError(t, os.WriteFile(file, []byte("node_name: [\n"), 0o600))
	require.NotEqual(t, fileStamp(file), r.loaded, "a change is seen by the stamp")
	r.reload()
	require.Len(t, daemon.reloaded, 1)
	require.Equal(t, 1, strings.Count(lines.String(), "invalid settings not applied"))
}
