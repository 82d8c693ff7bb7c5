package emulator

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"

	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/task"
)

// Point is one size of a series and what was measured at it.
type Point struct {
	X      float64 `json:"x"`
	Size   *size   `json:"size,omitempty"`
	Values values  `json:"values"`
}

// Series is one quantity grown over several sizes.
type Series struct {
	Name   string         `json:"name"`
	Grows  string         `json:"grows"`
	Made   string         `json:"made"` // by which build, on what
	TookS  float64        `json:"took_s"`
	Points []Point        `json:"points"`
	Fits   map[string]Fit `json:"fits,omitempty"`
}

// base is the fleet that a series grows one quantity of.
var base = size{Nodes: 60, Houses: 3, Replicas: 200, Models: 26, Routes: 100, Tenants: 50}

// aim is the size to come. The routes are two for each tenant; nothing is told of their number.
var aim = size{Nodes: 390, Houses: 15, Replicas: 1500, Models: 26, Routes: 500, Tenants: 250, Changes: 6.1, Churn: 30}

// growth is one series: how it sets a size, and the sizes.
type growth struct {
	name, grows string
	at          []float64
	set         func(*size, float64)
	alone       func(x float64) values // no fleet is needed
	run         func(*task.Scope, func() (*cell, error), Output) (*Series, error)
}

var series = []growth{
	{name: "nodes", grows: "routers", at: []float64{30, 90, 180, 270, 390}, set: func(s *size, x float64) { s.Nodes = int(x) }},
	{name: "replicas", grows: "replicas on the list", at: []float64{100, 400, 800, 1500}, set: func(s *size, x float64) { s.Replicas = int(x) }},
	{name: "routes", grows: "routes", at: []float64{50, 150, 300, 600}, set: func(s *size, x float64) { s.Routes = int(x) }},
	{name: "tenants", grows: "hosts that 500 routes are spread over", at: []float64{10, 60, 120, 250}, set: func(s *size, x float64) { s.Routes, s.Tenants = 500, int(x) }},
	{name: "changes", grows: "configuration changes a minute", at: []float64{0, 30, 60, 120, 240}, set: func(s *size, x float64) { s.Changes = x }},
	{name: "churn", grows: "replica changes a minute", at: []float64{0, 60, 300, 900}, set: func(s *size, x float64) { s.Churn = x }},
	{name: "houses", grows: "controllers and zones", at: []float64{3, 5, 9, 15}, set: func(s *size, x float64) { s.Houses = int(x) }},
	{name: "delay", grows: "ms one way between zones", at: []float64{0, 10, 25, 50, 75}, set: func(s *size, x float64) { s.DelayMs = x }},
	{name: "prefixes", grows: "runs held by one index", at: []float64{20000, 50000, 100000, 200000}, alone: prefixes},
	{name: "owners", grows: "routes that share one index and one pie", at: []float64{10, 60, 120, 250}, alone: owners},
	{name: "sessions", grows: "sessions that send one request each", at: []float64{20000, 50000, 100000, 200000}, alone: sessions},
	{name: "placing", grows: "replicas of one service", at: []float64{10, 58, 200, 600, 1500}, alone: placing},
	{name: "folding", grows: "routes in one node's book", at: []float64{50, 150, 500, 1000, 2000}, alone: folding},
	{name: "listing", grows: "replicas in one node's book", at: []float64{100, 400, 800, 1500}, alone: listing},
	{name: "aim", grows: "nothing: the size to come, measured whole", run: atAim},
	{name: "five", grows: "nothing: the size to come with five controllers for its 15 zones", run: withFive},
}

// SeriesNames lists what Slopes can measure.
func SeriesNames() (out []string) {
	for _, j := range series {
		out = append(out, j.name)
	}
	return
}

// Slopes measures series, all if none is named, and writes one JSON file for each into a folder.
func Slopes(sc *task.Scope, names []string, dir string, o Output) error {
	for _, n := range names {
		if !slices.Contains(SeriesNames(), n) {
			return errkind.New(errkind.BadEnv, "there is no series %q; there are %v", n, SeriesNames())
		}
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errkind.Wrap(errkind.BadEnv, err, "slopes")
	}
	for _, j := range series {
		if len(names) > 0 && !slices.Contains(names, j.name) {
			continue
		}
		s, err := j.measure(sc, spawn, o, constants.YardWindow)
		if err != nil {
			return err
		}
		b, err := json.MarshalIndent(s, "", " ")
		if err != nil {
			return errkind.Wrap(errkind.Internal, err, "slopes")
		}
		if err := os.WriteFile(filepath.Join(dir, j.name+".json"), append(b, '\n'), 0o644); err != nil {
			return errkind.Wrap(errkind.BadEnv, err, "slopes")
		}
	}
	return nil
}

func (j growth) measure(sc *task.Scope, hold func() (*cell, error), o Output, window clock.Span) (*Series, error) {
	start := clock.Now()
	s := &Series{Name: j.name, Grows: j.grows, Made: made(), Fits: map[string]Fit{}}
	if j.run != nil {
		r, err := j.run(sc, hold, o)
		if err != nil {
			return nil, err
		}
		s.Points = r.Points
	}
	for _, x := range j.at {
		p := Point{X: x}
		if j.alone != nil {
			p.Values = j.alone(x)
		} else {
			z := base
			j.set(&z, x)
			v, err := once(sc, z, hold, window)
			if err != nil {
				return nil, err
			}
			p.Size, p.Values = &z, v
		}
		o.say("%s %g: %v", j.name, x, p.Values.text())
		s.Points = append(s.Points, p)
		if sc.Ended() {
			return nil, errInterrupted
		}
	}
	s.fits()
	s.TookS = clock.Since(start).Seconds()
	return s, nil
}

// once builds a plant, measures it and takes it down.
func once(sc *task.Scope, z size, hold func() (*cell, error), window clock.Span) (values, error) {
	p, err := newPlant(sc, z, hold, window)
	if err != nil {
		return nil, err
	}
	defer p.close()
	return p.measure()
}

func (s *Series) fits() {
	if len(s.Points) < 3 {
		return
	}
	for name := range s.Points[0].Values {
		var x, y []float64
		for _, p := range s.Points {
			if v, ok := p.Values[name]; ok {
				x, y = append(x, p.X), append(y, v)
			}
		}
		if len(x) >= 3 {
			s.Fits[name] = fit(x, y)
		}
	}
}

func made() string {
	rev := "unknown"
	if b, ok := debug.ReadBuildInfo(); ok {
		for _, s := range b.Settings {
			if s.Key == "vcs.revision" || s.Key == "vcs.modified" && s.Value == "true" {
				if rev = s.Value[:min(12, len(s.Value))]; s.Key == "vcs.modified" {
					rev = "a changed tree"
				}
			}
		}
	}
	return fmt.Sprintf("%s %s, %s, %d cores", constants.Version, rev, runtime.Version(), runtime.NumCPU())
}

func (v values) text() string {
	var ks []string
	for k := range v {
		ks = append(ks, k)
	}
	slices.Sort(ks)
	out := ""
	for _, k := range ks {
		out += fmt.Sprintf("%s=%.4g ", k, v[k])
	}
	return out
}
