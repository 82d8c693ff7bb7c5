package emulator

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"shaletrestle/coord/wait"
	"shaletrestle/internal/durations"
)

// progressInterval is the pause between two lines of progress.
const progressInterval = 1 * time.Second

// secondsPerMinute turns a rate by the minute into a pause in seconds.
const secondsPerMinute = 60

// Output is where an experiment's results go; each may be empty.
type Output struct {
	Lines    io.Writer // JSON lines
	Progress io.Writer // what people read while they wait
	Plots    string    // folder for plots
}

func (o Output) printf(format string, args ...any) {
	if o.Progress != nil {
		fmt.Fprintf(o.Progress, format+"\n", args...)
	}
}

// Run starts an experiment's fleet and stand-ins, loads them, and ends everything
// again. It ends early, with what was measured so far, when the context does.
func Run(ctx context.Context, log *slog.Logger, experiment *Experiment, output Output) (*Summary, error) {
	output.printf("%s: %d replicas, %d controllers, %d routers in this process",
		experiment.Name, experiment.replicaCount(), experiment.Fleet.Controllers, experiment.Fleet.Routers)
	bed, err := newTestbed(ctx, log, experiment)
	if err != nil {
		return nil, err
	}
	defer bed.close()
	if err := bed.awaitReplicas(); err != nil {
		return nil, err
	}
	output.printf("replicas answer; settings are in %s", bed.dir)
	start := time.Now()
	if err := bed.startDaemons(); err != nil {
		return nil, err
	}
	took, err := bed.operator.put(bed.ctx, experiment.configuration(), bed.readyTimeout())
	if err != nil {
		return nil, err
	}
	output.printf("configuration accepted in %.0f ms", milliseconds(took))
	if err := bed.awaitRouters(bed.routers); err != nil {
		return nil, err
	}
	output.printf("routers ready %.0f ms after their start; sending %d requests over %g s",
		milliseconds(time.Since(start)), experiment.requestCount(), experiment.DurationS)
	return bed.load(output), nil
}

// load sends the traffic, with faults and changes beside it.
func (b *testbed) load(output Output) *Summary {
	report := newReport(b.experiment, output.Lines)
	besideCtx, stopBeside := context.WithCancel(b.ctx)
	defer stopBeside()
	var besides sync.WaitGroup
	for _, fault := range b.experiment.Faults {
		besides.Go(func() { b.applyFaultWhenDue(besideCtx, report, fault) })
	}
	if b.experiment.ChangesPerMinute > 0 {
		besides.Go(func() { b.changeConfiguration(besideCtx, report) })
	}
	besides.Go(func() { printProgress(besideCtx, report, output) })
	tallies := b.beginTallies(besideCtx, report, &besides)
	var memory []memorySample
	besides.Go(func() { memory = sampleMemory(besideCtx, report) })
	newTraffic(b.experiment, b.rules, b.fronts(), report.add).run(b.ctx)
	interrupted := b.ctx.Err() != nil
	stopBeside()
	besides.Wait()
	var samples []TallySample
	var tallySummary *TallySummary
	if tallies != nil {
		tallySummary, samples = tallies.result()
	}
	summary := report.summary(b, tallySummary, interrupted)
	if output.Plots != "" {
		if err := report.plot(b.experiment, samples, memory, output.Plots); err != nil {
			output.printf("no plots: %v", err)
		}
	}
	return summary
}

// beginTallies begins the additions to tallies, if the experiment has them, and its partition, if it has one. They end with
// the context and the wait group.
func (b *testbed) beginTallies(ctx context.Context, report *report, besides *sync.WaitGroup) *tallyLoad {
	var tallies *tallyLoad
	if b.experiment.Tallies != nil {
		tallies = newTallyLoad(b, report)
		besides.Go(func() { tallies.run(ctx) })
	}
	if b.experiment.Partition != nil {
		besides.Go(func() {
			b.partitionWhenDue(ctx, report)
			if tallies != nil {
				tallies.healed()
			}
		})
	}
	return tallies
}

// fronts lists the addresses at which routers serve clients.
func (b *testbed) fronts() []string {
	var addresses []string
	for _, router := range b.routers {
		addresses = append(addresses, b.addresses.address(router.ip, portFront))
	}
	return addresses
}

// applyFaultWhenDue gives a replica a fault when it is due.
func (b *testbed) applyFaultWhenDue(ctx context.Context, report *report, fault Fault) {
	if !wait.Sleep(ctx, durations.FromSeconds(fault.AtS)) {
		return
	}
	report.recordFault(fault)
	b.replicas[fault.Replica].applyFault(fault)
}

// changeConfiguration makes a small change at regular times.
func (b *testbed) changeConfiguration(ctx context.Context, report *report) {
	number := 0
	pause := durations.FromSeconds(secondsPerMinute / b.experiment.ChangesPerMinute)
	wait.Every(ctx, pause, func() bool {
		number++
		took, err := b.operator.patch(b.ctx, b.experiment.spareRoute(number), b.readyTimeout())
		report.recordChange(took, err)
		return true
	})
}

func printProgress(ctx context.Context, report *report, output Output) {
	wait.Every(ctx, progressInterval, func() bool {
		ended, served := report.progress()
		output.printf("%6.1f s: %d ended, %d served", time.Since(report.start).Seconds(), ended, served)
		return true
	})
}
