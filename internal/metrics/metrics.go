// Package metrics gives a daemon's counts in the Prometheus text form. Nothing is collected until somebody asks: the daemons keep the counts that they keep anyway.
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

// Figure is one metric. A count only rises within one life of the process; others go both ways.
type Sample struct {
	Name      string // with its unit, as in _total, _seconds, _bytes
	Help      string
	IsCounter bool
	Value     float64
	Service   string // of its label "service"; empty: it has none
}

type samples []Sample

// Describe is the collector's; nothing is described in advance.
func (samples) Describe(chan<- *prometheus.Desc) {}

// Collect is the collector's.
func (fs samples) Collect(to chan<- prometheus.Metric) {
	for _, f := range fs {
		var names, values []string
		if f.Service != "" {
			names, values = []string{"service"}, []string{f.Service}
		}
		kind := prometheus.GaugeValue
		if f.IsCounter {
			kind = prometheus.CounterValue
		}
		to <- prometheus.MustNewConstMetric(prometheus.NewDesc(f.Name, f.Help, names, nil), kind, f.Value, values...)
	}
}

// Serve writes the figures of the moment.
func Serve(w http.ResponseWriter, fs []Sample) {
	r := prometheus.NewRegistry()
	if err := r.Register(samples(fs)); err != nil {
		httpreply.Error(w, errkind.Wrap(errkind.Internal, err, "metrics"))
		return
	}
	all, err := r.Gather()
	if err != nil {
		httpreply.Error(w, errkind.Wrap(errkind.Internal, err, "metrics"))
		return
	}
	form := expfmt.NewFormat(expfmt.TypeTextPlain)
	w.Header().Set("Content-Type", string(form))
	e := expfmt.NewEncoder(w, form)
	for _, m := range all {
		if e.Encode(m) != nil {
			return
		}
	}
}
