package emulator

import (
	"context"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"

	"shaletrestle/coord/wait"
)

// How a fleet is measured.
const (
	measurementWindow = 8 * time.Second // a hollow fleet is measured this long, some twenty heartbeats of the updates, after it was left alone for half of it
	timedChanges      = 8               // changes whose way to every node is timed
)

// values is what one point of a series measured, by name.
type values map[string]float64

// measure looks at the fleet for a while: first with the steady changes of its size,
// then with a few changes one after the other whose way is timed.
func (f *hollowFleet) measure() (values, error) {
	if !wait.Sleep(f.ctx, f.window/2) {
		return nil, errInterrupted
	}
	roles, err := f.awaitPrimary()
	if err != nil {
		return nil, err
	}
	before, err := f.readCells()
	if err != nil {
		return nil, err
	}
	changesCtx, stopChanges := context.WithCancel(f.ctx)
	defer stopChanges()
	changing := f.changeSteadily(changesCtx)
	rested := wait.Sleep(f.ctx, f.window)
	stopChanges()
	changing.Wait()
	if !rested {
		return nil, errInterrupted
	}
	after, err := f.readCells()
	if err != nil {
		return nil, err
	}
	measured := values{"machine_load": machineLoad()}
	measured.addUsage("node", before[0], after[0], len(f.routers))
	for role, i := range roles {
		measured.addUsage(role, before[1+i], after[1+i], 1)
	}
	if err := f.timeChanges(measured); err != nil {
		return nil, err
	}
	return measured, nil
}

// readCells reads the nodes' cell and then each controller's.
func (f *hollowFleet) readCells() ([]usage, error) {
	var read []usage
	for _, cell := range f.cells() {
		used, err := cell.read()
		if err != nil {
			return nil, err
		}
		read = append(read, used)
	}
	return read, nil
}

// timeChanges adds how long changes take until they are in force.
func (f *hollowFleet) timeChanges(measured values) error {
	var times []float64 // ms
	for i := range timedChanges {
		took, err := f.timeChange(i)
		if err != nil {
			return err
		}
		times = append(times, milliseconds(took))
	}
	sort.Float64s(times)
	measured["in_force_ms_least"] = times[0]
	measured["in_force_ms_median"] = times[len(times)/2]
	measured["in_force_ms_mean"] = stat.Mean(times, nil)
	measured["in_force_ms_most"] = floats.Max(times)
	return nil
}

// addUsage turns two readings of a cell into what one of its daemons uses.
func (v values) addUsage(role string, before, after usage, daemons int) {
	count := float64(daemons)
	seconds := after.at.Sub(before.at).Seconds() * count
	v[role+"_cpu_percent"] = 100 * (after.CPU - before.CPUAfter) / seconds
	v[role+"_heap_kb"] = (after.Heap + after.Stacks) / 1024 / count
	v[role+"_goroutines"] = float64(after.Tasks) / count
	v[role+"_in_bytes_per_s"] = growth(before.In, after.In) / seconds
	v[role+"_out_bytes_per_s"] = growth(before.Out, after.Out) / seconds
}

// growth is the sum of what counters grew by.
func growth(before, after map[string]int64) float64 {
	var sum float64
	for name, count := range after {
		sum += float64(count - before[name])
	}
	return sum
}

// machineLoad is the load of the whole machine: times measured on a busy one are too
// long.
func machineLoad() float64 {
	content, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	lastMinute, _, _ := strings.Cut(string(content), " ")
	load, _ := strconv.ParseFloat(lastMinute, 64)
	return load
}

// setMillis records a time.
func (v values) setMillis(name string, took time.Duration) { v[name] = milliseconds(took) }
