package calendar

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// content is a calendar with a window in zone north and one elsewhere.
const content = "BEGIN:VCALENDAR\r\nVERSION:2.0\r\nPRODID:-//x//y//EN\r\nBEGIN:VEVENT\r\nUID:1\r\nDTSTAMP:20260101T000000Z\r\nDTSTART:20260105T080000Z\r\nDTEND:20260105T100000Z\r\nLOCATION:north\r\nSUMMARY:new racks\r\nEND:VEVENT\r\nBEGIN:VEVENT\r\nUID:2\r\nDTSTAMP:20260101T000000Z\r\nDTSTART:20260106T080000Z\r\nDTEND:20260106T100000Z\r\nLOCATION:elsewhere\r\nSUMMARY:lunch\r\nEND:VEVENT\r\nEND:VCALENDAR\r\n"

// write makes a file of a calendar and gives its path.
func write(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "c.ics")
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func TestRead_EventsOfOtherZones_AreLeftOut(t *testing.T) {
	windows, err := Read(write(t, content), map[string]string{"north": "r", "south": "r"})
	require.NoError(t, err)
	require.Len(t, windows, 1)
	require.Equal(t, "north", windows[0].Zone)
	require.Equal(t, "new racks", windows[0].Summary)
}

func TestRead_CategoriesAndLists_NameZonesToo(t *testing.T) {
	text := strings.Replace(content, "LOCATION:elsewhere", "CATEGORIES:south, north", 1)
	windows, err := Read(write(t, text), map[string]string{"north": "r", "south": "r"})
	require.NoError(t, err)
	var zones []string
	for _, window := range windows {
		zones = append(zones, window.Zone)
	}
	require.Equal(t, []string{"north", "south", "north"}, zones)
}

func TestOpenAt_WindowHasItsStartAndNotItsEnd(t *testing.T) {
	windows, err := Read(write(t, content), map[string]string{"north": "r"})
	require.NoError(t, err)
	for hour, want := range map[int]int{7: 0, 8: 1, 9: 1, 10: 0} {
		require.Len(t, OpenAt(windows, time.Date(2026, 1, 5, hour, 0, 0, 0, time.UTC)), want, "at %d", hour)
	}
}

func TestRead_BrokenFile_Fails(t *testing.T) {
	for _, x := range []struct{ name, content string }{
		{"no calendar", "nonsense"},
		{"event without times", "BEGIN:VCALENDAR\r\nBEGIN:VEVENT\r\nSUMMARY:no times\r\nEND:VEVENT\r\nEND:VCALENDAR\r\n"},
	} {
		_, err := Read(write(t, x.content), map[string]string{"north": "r"})
		require.ErrorContains(t, err, "calendar: ", x.name)
	}
	_, err := Read("/nowhere", nil)
	require.ErrorIs(t, err, fs.ErrNotExist)
}
