package emulator

import (
	"fmt"
	"io"
	"sync"

	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/task"
)

// Output is where an experiment's results go; each may be empty.
type Output struct {
	Lines    io.Writer // JSON lines
	Progress io.Writer // what people read while they wait
	Plots    string    // folder for plots
}

func (o Output) say(format string, a ...any) {
	if o.Progress != nil {
		fmt.Fprintf(o.Progress, format+"\n", a...)
	}
}

// Run puts up an experiment's fleet and stand-ins, loads it, and takes everything down again. It ends early, with what was measured so far, when the scope does.
func Run(sc *task.Scope, x *Experiment, o Output) (*Summary, error) {
	o.say("%s: %d replicas, %d controllers, %d routers in this process", x.Name, x.replicas(), x.Fleet.Controllers, x.Fleet.Routers)
	y, err := newYard(sc, x, nil)
	if err != nil {
		return nil, err
	}
	defer y.close()
	if err := y.awaitReplicas(); err != nil {
		return nil, err
	}
	o.say("replicas answer; settings are in %s", y.dir)
	at := clock.Now()
	if err := y.startAll(); err != nil {
		return nil, err
	}
	took, err := y.operator.order(y.sc, "PUT", x.setup(), clock.Seconds(x.Ready))
	if err != nil {
		return nil, err
	}
	o.say("configuration taken in %.0f ms", millis(took))
	if err := y.awaitGates(y.gates); err != nil {
		return nil, err
	}
	o.say("routers ready %.0f ms after their start; sending %d requests over %g s", millis(clock.Since(at)), x.requests(), x.Duration)
	return y.load(o), nil
}

func (x *Experiment) replicas() (n int) {
	for _, s := range x.Services {
		n += s.Replicas
	}
	return
}

// load sends the traffic, with troubles and changes beside it.
func (y *yard) load(o Output) *Summary {
	x := y.x
	rep := newReport(x, o.Lines)
	var fronts []string
	for _, g := range y.gates {
		fronts = append(fronts, y.ground.at(g.ip, portFront))
	}
	beside := y.sc.Part("beside")
	var wg sync.WaitGroup
	also := func(f func()) { wg.Add(1); go func() { defer wg.Done(); f() }() }
	for _, t := range x.Troubles {
		also(func() {
			if clock.Rest(beside, clock.Seconds(t.AtS)) {
				rep.trouble(t)
				y.replicas[t.Replica].trouble(t)
			}
		})
	}
	if x.Changes > 0 {
		also(func() {
			n := 0
			clock.Every(beside, clock.Seconds(60/x.Changes), func() bool {
				n++
				rep.change(y.operator.order(y.sc, "PATCH", x.change(n), clock.Seconds(x.Ready)))
				return true
			})
		})
	}
	also(func() {
		clock.Every(beside, constants.YardProgress, func() bool {
			ended, served := rep.sent()
			o.say("%6.1f s: %d ended, %d served", clock.Since(rep.start).Seconds(), ended, served)
			return true
		})
	})
	newLoad(y.sc, x, y.judge, fronts, rep.add).run()
	interrupted := y.sc.Ended()
	beside.Stop()
	wg.Wait()
	s := rep.summary(x, y, interrupted)
	if o.Plots != "" {
		if err := rep.plot(x, o.Plots); err != nil {
			o.say("no plots: %v", err)
		}
	}
	return s
}
