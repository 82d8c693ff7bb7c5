package invariant

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRecorder_Violations_CountedAndLoggedSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		recorder := NewRecorder(slog.New(slog.NewTextHandler(&lines, nil)), "order", "limit")
		require.Equal(t, []Count{{"order", 0}, {"limit", 0}}, recorder.Counts())
		require.Empty(t, recorder.Violations())
		for number := range 5 {
			recorder.Check(true, "order")
			recorder.Check(false, "limit", "sends", number)
		}
		require.Equal(t, []Count{{"limit", 5}}, recorder.Violations())
		require.Equal(t, 1, strings.Count(lines.String(), LogMessage))
		require.Contains(t, lines.String(), "invariant=limit suppressed=0 sends=0")
		recorder.Violated("order")
		require.Equal(t, 2, strings.Count(lines.String(), LogMessage), "each invariant has lines of its own")
		time.Sleep(logInterval)
		recorder.Violated("limit", "sends", 9)
		require.Contains(t, lines.String(), "invariant=limit suppressed=4 sends=9")
	})
}

func TestRecorder_Nil_RecordsNothing(t *testing.T) {
	var recorder *Recorder
	recorder.Violated("order")
	recorder.Check(false, "order")
	require.Empty(t, recorder.Counts())
	require.Empty(t, recorder.Violations())
}

func ExampleRecorder_Check() {
	recorder := NewRecorder(slog.New(slog.DiscardHandler), "balance")
	acquired, released := 3, 2
	recorder.Check(acquired == released, "balance", "acquired", acquired, "released", released)
	fmt.Println(recorder.Violations())
	// Output: [{balance 1}]
}
