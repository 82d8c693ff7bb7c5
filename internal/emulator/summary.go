package emulator

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Row sums up one kind of request.
type Row struct {
	Kind     string  `json:"kind"`
	Sent     int     `json:"sent"`
	Served   int     `json:"served"`
	Rejected int     `json:"refused"`
	Failed   int     `json:"failed"`
	Late     int     `json:"late"`
	Attempts int     `json:"tries"`
	P50Ms    float64 `json:"p50_ms"` // of what was served: to the answer, or to a stream's first event
	P99Ms    float64 `json:"p99_ms"`

	latency *hdrhistogram.Histogram // of what was served, in µs
}

func (r *Row) add(result Result) {
	r.Sent++
	r.Attempts += result.Attempts
	switch result.Outcome {
	case Served:
		r.Served++
		micros := max(1, int64(result.Ms*microsPerMilli))
		_ = r.latency.RecordValue(min(micros, maxLatencyMicros))
	case Rejected:
		r.Rejected++
	default:
		r.Failed++
	}
	if result.Late {
		r.Late++
	}
}

// Summary is the outcome of an experiment.
type Summary struct {
	Name              string   `json:"name"`
	TookS             float64  `json:"took_s"`
	Rows              []*Row   `json:"kinds"`
	Broken            int      `json:"rules_broken"`
	Rules             []string `json:"rules,omitempty"`
	Changes           int      `json:"changes"`
	ChangeP99Ms       float64  `json:"change_p99_ms"`
	ListCalls         int      `json:"list_calls"`
	ListCallsOverRate int      `json:"list_calls_over_rate"`
	Interrupted       bool     `json:"interrupted"`

	Tallies *TallySummary `json:"tallies,omitempty"` // nil: the experiment has none
}

// IsComplete reports whether everything that was to be sent was served and no rule was
// broken.
func (s *Summary) IsComplete() bool {
	for _, row := range s.Rows {
		if row.Served != row.Sent {
			return false
		}
	}
	return s.Broken == 0 && !s.Interrupted
}

// Write prints the table that people read.
func (s *Summary) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "kind\tsent\tserved\trefused\tfailed\tlate\ttries\tp50 ms\tp99 ms\t")
	for _, row := range s.Rows {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n",
			row.Kind, row.Sent, row.Served, row.Rejected, row.Failed, row.Late, row.Attempts, row.P50Ms, row.P99Ms)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if s.Changes > 0 {
		fmt.Fprintf(w, "changes of the configuration: %d, p99 %.1f ms\n", s.Changes, s.ChangeP99Ms)
	}
	if tallies := s.Tallies; tallies != nil {
		fmt.Fprintf(w, "additions to tallies: %d acknowledged, %d rejected, %d unclear; merged %.0f ms after the partition\n",
			tallies.Acknowledged, tallies.Rejected, tallies.Unclear, tallies.MergeMs)
	}
	fmt.Fprintf(w, "calls to the platform's list: %d, over its rate: %d\n", s.ListCalls, s.ListCallsOverRate)
	fmt.Fprintf(w, "rules broken: %d\n", s.Broken)
	for _, violation := range s.Rules {
		fmt.Fprintln(w, " ", violation)
	}
	return nil
}
