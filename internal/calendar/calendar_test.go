package calendar

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const file = "BEGIN:VCALENDAR\r\nVERSION:2.0\r\nPRODID:-//x//y//EN\r\nBEGIN:VEVENT\r\nUID:1\r\nDTSTAMP:20260101T000000Z\r\nDTSTART:20260105T080000Z\r\nDTEND:20260105T100000Z\r\nLOCATION:north\r\nSUMMARY:new racks\r\nEND:VEVENT\r\nBEGIN:VEVENT\r\nUID:2\r\nDTSTAMP:20260101T000000Z\r\nDTSTART:20260106T080000Z\r\nDTEND:20260106T100000Z\r\nLOCATION:elsewhere\r\nSUMMARY:lunch\r\nEND:VEVENT\r\nEND:VCALENDAR\r\n"

func write(t *testing.T, s string) string {
	t.Helper()
	p := filepath.Join(t.TempDir(), "c.ics")
	require.NoError(t, os.WriteFile(p, []byte(s), 0o600))
	return p
}

func TestWindowsOfOurLocalities(t *testing.T) {
	ws, err := Read(write(t, file), map[string]string{"north": "r", "south": "r"})
	require.NoError(t, err)
	require.Len(t, ws, 1)
	require.Equal(t, "new racks", ws[0].Summary)
	at := func(h int) int { return len(OpenAt(ws, time.Date(2026, 1, 5, h, 0, 0, 0, time.UTC))) }
	require.Equal(t, []int{0, 1, 1, 0}, []int{at(7), at(8), at(9), at(10)})
}

func TestABrokenFileIsSaid(t *testing.T) {
	for _, s := range []string{"nonsense", "BEGIN:VCALENDAR\r\nBEGIN:VEVENT\r\nSUMMARY:no times\r\nEND:VEVENT\r\nEND:VCALENDAR\r\n"} {
		_, err := Read(write(t, s), map[string]string{"north": "r"})
		require.Error(t, err)
	}
	_, err := Read("/nowhere", nil)
	require.Error(t, err)
}
