// Package metrics serves the figures of a program in the Prometheus text format.
//
// It owns no state: programs keep their counts themselves, and samples are made of them at each request. Its functions
// are safe for concurrent use.
package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"shaletrestle/internal/errkind"
	"shaletrestle/internal/httpreply"
)

// Path is where metrics are served on a state port.
const Path = "/metrics"

// serviceLabel is the one label that samples have.
const serviceLabel = "service"

// Sample is one metric and its value of the moment. Samples of the same name must agree in all but Value and Service.
type Sample struct {
	Name      string // ends in its unit, as in _total, _seconds, _bytes
	Help      string
	IsCounter bool // it only rises while the process runs; others are gauges
	Value     float64
	Service   string // of its label "service"; empty: it has none
}

func (s *Sample) metric() prometheus.Metric {
	var labels, values []string
	if s.Service != "" {
		labels, values = []string{serviceLabel}, []string{s.Service}
	}
	kind := prometheus.GaugeValue
	if s.IsCounter {
		kind = prometheus.CounterValue
	}
	return prometheus.MustNewConstMetric(prometheus.NewDesc(s.Name, s.Help, labels, nil), kind, s.Value, values...)
}

// samples makes a Prometheus collector of given samples.
type samples []Sample

// Describe describes nothing in advance: the collector is unchecked.
func (samples) Describe(chan<- *prometheus.Desc) {}

// Collect sends the samples.
func (s samples) Collect(metrics chan<- prometheus.Metric) {
	for i := range s {
		metrics <- s[i].metric()
	}
}

// Serve writes samples as an answer. Samples that contradict each other, or that are given twice, are answered
// with an internal error. A client that is gone is not reported.
func Serve(w http.ResponseWriter, current []Sample) {
	registry := prometheus.NewRegistry()
	if err := registry.Register(samples(current)); err != nil {
		httpreply.Error(w, errkind.Wrap(errkind.Internal, err, "metrics"))
		return
	}
	families, err := registry.Gather()
	if err != nil {
		httpreply.Error(w, errkind.Wrap(errkind.Internal, err, "metrics"))
		return
	}
	format := expfmt.NewFormat(expfmt.TypeTextPlain)
	w.Header().Set("Content-Type", string(format))
	encoder := expfmt.NewEncoder(w, format)
	for _, family := range families {
		if encoder.Encode(family) != nil {
			return // the client is gone
		}
	}
}
