package emulator

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"

	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
)

// Row sums up one kind of request.
type Row struct {
	Kind    string  `json:"kind"`
	Sent    int     `json:"sent"`
	Served  int     `json:"served"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Late    int     `json:"late"`
	Tries   int     `json:"tries"`
	P50Ms   float64 `json:"p50_ms"` // of what was served: to the answer, or to a stream's first event
	P99Ms   float64 `json:"p99_ms"`
	hist    *hdrhistogram.Histogram
}

// Summary is what an experiment came to.
type Summary struct {
	Name        string   `json:"name"`
	TookS       float64  `json:"took_s"`
	Rows        []*Row   `json:"kinds"`
	Broken      int      `json:"rules_broken"`
	Rules       []string `json:"rules,omitempty"`
	Changes     int      `json:"changes"`
	ChangeP99Ms float64  `json:"change_p99_ms"`
	ListCalls   int      `json:"list_calls"`
	ListTurned  int      `json:"list_calls_over_rate"`
	Interrupted bool     `json:"interrupted"`
}

// Whole tells whether everything that was to be sent was served and no rule was broken.
func (s *Summary) Whole() bool {
	for _, r := range s.Rows {
		if r.Served != r.Sent {
			return false
		}
	}
	return s.Broken == 0 && !s.Interrupted
}

// report collects results.
type report struct {
	mu      sync.Mutex
	lines   io.Writer
	start   clock.Moment
	rows    map[string]*Row
	all     []Result
	changes *hdrhistogram.Histogram
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, constants.YardLatencyMost, constants.YardDigits)
}

func newReport(x *Experiment, lines io.Writer) *report {
	r := &report{lines: lines, start: clock.Now(), rows: map[string]*Row{}, changes: histogram()}
	for _, k := range x.Kinds {
		r.rows[k.Name] = &Row{Kind: k.Name, hist: histogram()}
	}
	return r
}

// line writes one JSON line; what kind of line it is stands in it as "is".
func (r *report) line(is string, v any) {
	if r.lines == nil {
		return
	}
	b, err := json.Marshal(struct {
		Is string `json:"is"`
		At string `json:"at"`
		V  any    `json:"v"`
	}{is, fmt.Sprintf("%.3f", clock.Since(r.start).Seconds()), v})
	if err == nil {
		_, _ = r.lines.Write(append(b, '\n'))
	}
}

func (r *report) add(x Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.rows[x.Kind]
	row.Sent++
	row.Tries += x.Tries
	switch x.Outcome {
	case Served:
		row.Served++
		_ = row.hist.RecordValue(min(max(1, int64(x.Ms*1000)), constants.YardLatencyMost))
	case Refused:
		row.Refused++
	default:
		row.Failed++
	}
	if x.Late {
		row.Late++
	}
	r.all = append(r.all, x)
	r.line("request", x)
}

func (r *report) trouble(t Trouble) {
	r.mu.Lock()
	r.line("trouble", t)
	r.mu.Unlock()
}

func (r *report) change(took clock.Span, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	why := ""
	if err != nil {
		why = err.Error()
	} else {
		_ = r.changes.RecordValue(max(1, took.Microseconds()))
	}
	r.line("change", map[string]any{"ms": millis(took), "err": why})
}

// sent tells how much has ended so far.
func (r *report) sent() (ended, served int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range r.rows {
		ended += row.Sent
		served += row.Served
	}
	return
}

func (r *report) summary(x *Experiment, y *yard, interrupted bool) *Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &Summary{Name: x.Name, TookS: clock.Since(r.start).Seconds(), Changes: int(r.changes.TotalCount()), ChangeP99Ms: float64(r.changes.ValueAtQuantile(99)) / 1000, Interrupted: interrupted}
	for _, k := range x.Kinds {
		row := r.rows[k.Name]
		row.P50Ms, row.P99Ms = float64(row.hist.ValueAtQuantile(50))/1000, float64(row.hist.ValueAtQuantile(99))/1000
		s.Rows = append(s.Rows, row)
	}
	s.Broken, s.Rules = y.judge.rules()
	s.ListCalls, s.ListTurned = y.platform.turned()
	r.line("summary", s)
	return s
}

// Write prints the table that people read.
func (s *Summary) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "kind\tsent\tserved\trefused\tfailed\tlate\ttries\tp50 ms\tp99 ms\t")
	for _, r := range s.Rows {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", r.Kind, r.Sent, r.Served, r.Refused, r.Failed, r.Late, r.Tries, r.P50Ms, r.P99Ms)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if s.Changes > 0 {
		fmt.Fprintf(w, "changes of the configuration: %d, p99 %.1f ms\n", s.Changes, s.ChangeP99Ms)
	}
	fmt.Fprintf(w, "calls to the platform's list: %d, over its rate: %d\n", s.ListCalls, s.ListTurned)
	fmt.Fprintf(w, "rules broken: %d\n", s.Broken)
	for _, b := range s.Rules {
		fmt.Fprintln(w, " ", b)
	}
	return nil
}
