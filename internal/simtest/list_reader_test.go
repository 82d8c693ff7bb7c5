package simtest

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// manyReplicas is how many replicas the list has, so that another member than the primary reads it.
const manyReplicas = 110

// TestList_ReaderFrozenKilledCutOff_DrainsInTime lets replicas drain while each of the members that may read the list for the
// primary is frozen, killed or cut off in turn.
func TestList_ReaderFrozenKilledCutOff_DrainsInTime(t *testing.T) {
	for name, fault := range map[string]struct{ begin, end string }{
		"frozen":  {"freeze %s", "thaw %s"},
		"killed":  {"kill %s", "start %s"},
		"cut off": {"partition %s controller-1", "heal"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var script strings.Builder
			line := func(format string, args ...any) { fmt.Fprintf(&script, format+"\n", args...) }
			line("fleet controllers=3 routers=2")
			line("replica r1 pool=svc zone=a\nreplica r2 pool=svc zone=b\nreplica r3 pool=svc zone=c")
			line("replica m1 pool=lm zone=a\nreplica m2 pool=lm zone=b")
			for i := range manyReplicas {
				line("replica x%d pool=idle zone=%c", i, 'a'+i%3)
			}
			line("wait 1s\nmove_away controller-1 by=2ms\nmove_away controller-2 by=1ms\nput 5 base=0 expect=200\nwait 5s")
			line("load router=router-1,router-2 path=/i/x rate=40 for=24s\nwait 1s")
			for i, reader := range []string{"controller-3", "controller-2"} {
				line(fault.begin, reader)
				line("state r%d draining\nwait 3900ms\nexecuted r%d min=0\nwait 2s\nexecuted r%d max=0", i+1, i+1, i+1)
				if strings.Contains(fault.end, "%s") {
					line(fault.end, reader)
				} else {
					line(fault.end)
				}
				line("wait 4s")
			}
			line("wait 2s\nserved 95")
			file := filepath.Join(t.TempDir(), "list.scn")
			require.NoError(t, os.WriteFile(file, []byte(script.String()), 0o600))
			synctest.Test(t, func(t *testing.T) {
				var lines strings.Builder
				log := slog.New(slog.NewTextHandler(io.MultiWriter(&lines, scenarioLog()), nil))
				require.NoError(t, RunFile(NewSimulation(log), file))
				missed := map[string]bool{}
				for _, found := range regexp.MustCompile(`list not read by another member.* member=(\S+)`).FindAllStringSubmatch(lines.String(), -1) {
					missed[found[1]] = true
				}
				require.GreaterOrEqual(t, len(missed), 2, "each was the reader when the fault began")
			})
		})
	}
}
