package emulator

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms.
const (
	maxLatencyMicros = 10 * 60 * 1000000 // µs; largest value of a histogram
	histogramDigits  = 3                 // its significant digits
)

// microsPerMilli turns a histogram's values, which are in µs, into ms.
const microsPerMilli = 1000

// report collects results.
type report struct {
	experiment *Experiment
	lines      io.Writer // nil: none are written
	start      time.Time

	mu      sync.Mutex
	rows    map[string]*Row // by kind
	results []Result
	changes *hdrhistogram.Histogram // time of changes, in µs
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, histogramDigits)
}

// quantile is in ms.
func quantile(histogram *hdrhistogram.Histogram, percent float64) float64 {
	return float64(histogram.ValueAtQuantile(percent)) / microsPerMilli
}

func newReport(experiment *Experiment, lines io.Writer) *report {
	r := &report{
		experiment: experiment,
		lines:      lines,
		start:      time.Now(),
		rows:       map[string]*Row{},
		changes:    newHistogram(),
	}
	for _, kind := range experiment.Kinds {
		r.rows[kind.Name] = &Row{Kind: kind.Name, latency: newHistogram()}
	}
	return r
}

// The kinds of JSON lines.
const (
	lineRequest = "request"
	lineFault   = "trouble"
	lineChange  = "change"
	lineSummary = "summary"

	linePartition = "partition"
	lineTallies   = "tallies"
)

// line is one JSON line.
type line struct {
	Is string `json:"is"` // its kind
	At string `json:"at"` // s since the start
	V  any    `json:"v"`
}

// write writes a JSON line; the caller holds the lock.
func (r *report) write(kind string, value any) {
	if r.lines == nil {
		return
	}
	at := fmt.Sprintf("%.3f", time.Since(r.start).Seconds())
	encoded, err := json.Marshal(line{Is: kind, At: at, V: value})
	if err == nil {
		_, _ = r.lines.Write(append(encoded, '\n'))
	}
}

// add takes the result of one request.
func (r *report) add(result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rows[result.Kind].add(result)
	r.results = append(r.results, result)
	r.write(lineRequest, result)
}

func (r *report) recordPartition(spec PartitionSpec) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(linePartition, spec)
}

func (r *report) recordTallies(sample TallySample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(lineTallies, sample)
}

func (r *report) recordFault(fault Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(lineFault, fault)
}

// changeResult is how a change of the configuration ended.
type changeResult struct {
	Err string  `json:"err"`
	Ms  float64 `json:"ms"`
}

func (r *report) recordChange(took time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := changeResult{Ms: milliseconds(took)}
	if err != nil {
		result.Err = err.Error()
	} else {
		_ = r.changes.RecordValue(max(1, took.Microseconds()))
	}
	r.write(lineChange, result)
}

// progress gives how many requests have ended so far, and how many were served.
func (r *report) progress() (ended, served int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range r.rows {
		ended += row.Sent
		served += row.Served
	}
	return ended, served
}

// summary sums up what was collected and what the testbed counted.
func (r *report) summary(bed *testbed, tallies *TallySummary, interrupted bool) *Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	summary := &Summary{
		Name:        r.experiment.Name,
		TookS:       time.Since(r.start).Seconds(),
		Changes:     int(r.changes.TotalCount()),
		ChangeP99Ms: quantile(r.changes, 99),
		Interrupted: interrupted,
		Tallies:     tallies,
	}
	for _, kind := range r.experiment.Kinds {
		row := r.rows[kind.Name]
		row.P50Ms = quantile(row.latency, 50)
		row.P99Ms = quantile(row.latency, 99)
		summary.Rows = append(summary.Rows, row)
	}
	summary.Broken, summary.Rules = bed.rules.result()
	summary.ListCalls, summary.ListCallsOverRate = bed.platform.counts()
	r.write(lineSummary, summary)
	return summary
}
