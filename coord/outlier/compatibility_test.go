package outlier

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/recordedtest"
)

// TestReport_RecordedBytes_ReadAndWrittenAsBefore holds the form of the reports between processes.
func TestReport_RecordedBytes_ReadAndWrittenAsBefore(t *testing.T) {
	recording := recordedtest.Open(t, "testdata/reports.txt")
	reports := []Report{
		{ReplicaID: "replica-1", Node: 0xfedcba9876543210, Successes: 1.25, Failures: 2.5},
		{ReplicaID: "replica-2", Node: 1, Successes: 0, Failures: 0.125},
	}
	written, err := json.Marshal(reports)
	require.NoError(t, err)
	var got []Report
	require.NoError(t, json.Unmarshal(recording.Same("two", written), &got))
	require.Equal(t, reports, got)
}
