// Package metrics serves the figures of a program in the Prometheus text format.
//
// It owns no state: programs keep their counts and histograms themselves, and samples are made of the counts at each request. Its functions
// are safe for concurrent use.
package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"shaletrestle/coord/invariant"
	"shaletrestle/coord/rpc"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/httpreply"
)

// Path is where metrics are served on a state port.
const Path = "/metrics"

// Label is a name and a value that tell samples of one metric apart.
type Label struct{ Name, Value string }

// Service are the labels of a sample that belongs to one service.
func Service(name string) []Label { return []Label{{Name: "service", Value: name}} }

// Sample is one metric and its value of the moment. Samples of the same name must agree in all but Value and their labels'
// values.
type Sample struct {
	Name      string // ends in its unit, as in _total, _seconds, _bytes
	Help      string
	IsCounter bool // it only rises while the process runs; others are gauges
	Value     float64
	Labels    []Label
}

func (s *Sample) metric() prometheus.Metric {
	var labels, values []string
	for _, label := range s.Labels {
		labels, values = append(labels, label.Name), append(values, label.Value)
	}
	kind := prometheus.GaugeValue
	if s.IsCounter {
		kind = prometheus.CounterValue
	}
	return prometheus.MustNewConstMetric(prometheus.NewDesc(s.Name, s.Help, labels, nil), kind, s.Value, values...)
}

// Invariants are samples of the violations of a program's invariants, by their names.
func Invariants(program string, invariants *invariant.Recorder) []Sample {
	var samples []Sample
	for _, count := range invariants.Counts() {
		samples = append(samples, Sample{
			Name:      program + "_invariant_violations_total",
			Help:      "Violations of invariants that the process checks while it runs; always 0.",
			IsCounter: true,
			Value:     float64(count.Violations),
			Labels:    []Label{{Name: "invariant", Value: string(count.Name)}},
		})
	}
	return samples
}

// Traffic are samples of the messages between processes, by kind, direction and zone of the peer.
func Traffic(program string, traffic *rpc.Traffic) []Sample {
	var samples []Sample
	for _, count := range traffic.Counts() {
		labels := []Label{
			{Name: "kind", Value: count.Kind.String()},
			{Name: "direction", Value: count.Direction.String()},
			{Name: "peer_zone", Value: count.Peer.String()},
		}
		samples = append(samples, Sample{
			Name:      program + "_messages_total",
			Help:      "Messages between processes, by kind, direction and whether the peer is in the own zone.",
			IsCounter: true,
			Value:     float64(count.Messages),
			Labels:    labels,
		}, Sample{
			Name:      program + "_message_bytes_total",
			Help:      "Bytes of the messages between processes, without the heads of TCP and IP.",
			IsCounter: true,
			Value:     float64(count.Bytes),
			Labels:    labels,
		})
	}
	return samples
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

// Serve writes samples, and what further collectors hold, as an answer. Samples that contradict each other, or that are
// given twice, are answered with an internal error. A client that is gone is not reported.
func Serve(w http.ResponseWriter, current []Sample, further ...prometheus.Collector) {
	registry := prometheus.NewRegistry()
	for _, collector := range append(further, samples(current)) {
		if err := registry.Register(collector); err != nil {
			httpreply.Error(w, errkind.Wrap(errkind.Internal, err, "metrics"))
			return
		}
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
