package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"time"

	"shaletrestle/internal/errkind"
	"shaletrestle/internal/version"
)

// minPoints is the number of points that a line is fitted to at least.
const minPoints = 3

// Point is one size of a series and what was measured at it.
type Point struct {
	X      float64    `json:"x"`
	Size   *fleetSize `json:"size,omitempty"`
	Values values     `json:"values"`
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

// SeriesNames lists what Slopes can measure.
func SeriesNames() []string {
	var names []string
	for _, spec := range allSeries {
		names = append(names, spec.name)
	}
	return names
}

// Slopes measures series, all if none is named, and writes one JSON file for each
// into a folder.
func Slopes(ctx context.Context, log *slog.Logger, names []string, dir string, output Output) error {
	for _, name := range names {
		if !slices.Contains(SeriesNames(), name) {
			return errkind.New(errkind.InvalidSettings, "there is no series %q; there are %v", name, SeriesNames())
		}
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errkind.Wrap(errkind.InvalidSettings, err, "slopes")
	}
	for _, spec := range allSeries {
		if len(names) > 0 && !slices.Contains(names, spec.name) {
			continue
		}
		measured, err := spec.measure(ctx, log, spawnCell, output, measurementWindow)
		if err != nil {
			return err
		}
		if err := measured.writeFile(filepath.Join(dir, spec.name+".json")); err != nil {
			return err
		}
	}
	return nil
}

func (s *Series) writeFile(path string) error {
	encoded, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "slopes")
	}
	return errkind.Wrap(errkind.InvalidSettings, os.WriteFile(path, append(encoded, '\n'), 0o644), "slopes")
}

// measure measures a series; an interrupted one is an error.
func (s seriesSpec) measure(ctx context.Context, log *slog.Logger, start newCell, output Output, window time.Duration) (*Series, error) {
	startedAt := time.Now()
	measured := &Series{Name: s.name, Grows: s.grows, Made: buildDescription(), Fits: map[string]Fit{}}
	if s.custom != nil {
		points, err := s.custom(ctx, log, start, output)
		if err != nil {
			return nil, err
		}
		measured.Points = points
	}
	for _, x := range s.at {
		point, err := s.measurePoint(ctx, log, x, start, window)
		if err != nil {
			return nil, err
		}
		output.printf("%s %g: %v", s.name, x, point.Values.text())
		measured.Points = append(measured.Points, point)
		if ctx.Err() != nil {
			return nil, errInterrupted
		}
	}
	measured.fit()
	measured.TookS = time.Since(startedAt).Seconds()
	return measured, nil
}

// measurePoint measures a component of this process, or a fleet of the size.
func (s seriesSpec) measurePoint(ctx context.Context, log *slog.Logger, x float64, start newCell, window time.Duration) (Point, error) {
	if s.component != nil {
		return Point{X: x, Values: s.component(x)}, nil
	}
	size := baseSize
	s.set(&size, x)
	measured, err := measureFleet(ctx, log, size, start, window)
	if err != nil {
		return Point{}, err
	}
	return Point{X: x, Size: &size, Values: measured}, nil
}

// measureFleet starts a fleet, measures it and ends it.
func measureFleet(ctx context.Context, log *slog.Logger, size fleetSize, start newCell, window time.Duration) (values, error) {
	fleet, err := newHollowFleet(ctx, log, size, start, window)
	if err != nil {
		return nil, err
	}
	defer fleet.close()
	return fleet.measure()
}

// fit fits a line to every value of the points.
func (s *Series) fit() {
	if len(s.Points) < minPoints {
		return
	}
	for name := range s.Points[0].Values {
		var x, y []float64
		for _, point := range s.Points {
			value, ok := point.Values[name]
			if !ok {
				continue
			}
			x = append(x, point.X)
			y = append(y, value)
		}
		if len(x) >= minPoints {
			s.Fits[name] = fitLine(x, y)
		}
	}
}

// buildDescription names the version and the machine.
func buildDescription() string {
	return fmt.Sprintf("%s %s, %s, %d cores", version.Number, buildRevision(), runtime.Version(), runtime.NumCPU())
}

// buildRevision is the revision of the sources that this program was built from.
func buildRevision() string {
	const shownDigits = 12
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision := "unknown"
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			revision = setting.Value[:min(shownDigits, len(setting.Value))]
		case setting.Key == "vcs.modified" && setting.Value == "true":
			revision = "a changed tree"
		}
	}
	return revision
}

// text lists the values by name.
func (v values) text() string {
	var names []string
	for name := range v {
		names = append(names, name)
	}
	slices.Sort(names)
	text := ""
	for _, name := range names {
		text += fmt.Sprintf("%s=%.4g ", name, v[name])
	}
	return text
}
