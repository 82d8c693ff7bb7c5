package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"shaletrestle/coord/wait"
)

const (
	shortestFault = 300 * time.Millisecond
	longestFault  = 6 * time.Second
	longestPause  = 1500 * time.Millisecond // between the beginnings of two faults
	calmEvery     = 14                      // after so many faults there is a calm time
	calmTime      = 9 * time.Second         // longer than the aftermath and applySlack together

	wipePause = 12 * time.Second // between two lost disks at least
)

// fault is one kind of fault. It begins and ends by itself, and returns when it is over.
type fault struct {
	name   string
	weight int
	inject func(*faultInjector) error
	wipes  bool // it may take a disk away
}

// faultInjector draws faults from the seed and injects them, up to a number at the same time.
type faultInjector struct {
	run      *Run
	random   *rand.Rand // used by the drawing goroutine only
	parallel chan struct{}
	faults   []fault
	lastWipe time.Time
	total    int
}

// newFaultInjector makes an injector of some faults; stream tells its draws from those of others.
func newFaultInjector(run *Run, faults []fault, overlap int, stream uint64) *faultInjector {
	i := &faultInjector{
		run:      run,
		random:   rand.New(rand.NewPCG(run.options.Seed, stream)),
		parallel: make(chan struct{}, overlap),
	}
	for _, each := range faults {
		for range each.weight {
			i.faults = append(i.faults, each)
		}
	}
	return i
}

// processFaults are the kinds that befall our own processes, with their weights.
var processFaults = []fault{
	{name: "kill controller", weight: 3, inject: func(i *faultInjector) error { return i.killOne(i.controller()) }},
	{name: "kill router", weight: 2, inject: func(i *faultInjector) error { return i.killOne(i.router()) }},
	{name: "terminate controller", weight: 2, inject: func(i *faultInjector) error { return i.terminate(i.controller()) }},
	{name: "terminate router", weight: 3, inject: func(i *faultInjector) error { return i.terminate(i.router()) }},
	{name: "pause controller", weight: 3, inject: func(i *faultInjector) error { return i.pause(i.controller()) }},
	{name: "pause router", weight: 2, inject: func(i *faultInjector) error { return i.pause(i.router()) }},
	{name: "reload with other seeds", weight: 2, inject: (*faultInjector).reload},
	{name: "kill all controllers", weight: 1, inject: func(i *faultInjector) error { return i.killAll(i.run.fleet.controllerList()) }},
	{name: "kill all", weight: 1, inject: func(i *faultInjector) error { return i.killAll(i.run.fleet.all()) }},
	{name: "lose a disk", weight: 1, inject: (*faultInjector).wipe, wipes: true},
	{name: "replace a controller", weight: 1, inject: (*faultInjector).replace},
	{name: "cut a controller off", weight: 3, inject: (*faultInjector).cutController},
	{name: "cut the controllers in halves", weight: 2, inject: (*faultInjector).cutHalves},
	{name: "cut a router off", weight: 2, inject: (*faultInjector).cutRouter},
	{name: "delay", weight: 1, inject: (*faultInjector).delay},
	{name: "disk trouble", weight: 2, inject: (*faultInjector).disk},
}

// replicaFaults are the kinds that befall replicas and the platform. They come beside the others.
var replicaFaults = []fault{
	{name: "replica trouble", weight: 9, inject: (*faultInjector).replicaMode},
	{name: "replica crashes", weight: 2, inject: (*faultInjector).replicaCrash},
	{name: "replica drains and its address is reused", weight: 2, inject: (*faultInjector).replicaReplaced},
	{name: "platform down", weight: 1, inject: (*faultInjector).platformDown},
}

// work injects faults until the context ends, then waits for the end of those under way.
func (i *faultInjector) work(ctx context.Context) {
	defer func() {
		for range cap(i.parallel) {
			i.parallel <- struct{}{}
		}
	}()
	for ctx.Err() == nil {
		wait.Sleep(ctx, time.Duration(i.random.Int64N(int64(longestPause))))
		i.total++
		if i.total%calmEvery == 0 {
			i.calm(ctx)
		}
		select {
		case i.parallel <- struct{}{}:
		case <-ctx.Done():
			return
		}
		drawn := i.faults[i.random.IntN(len(i.faults))]
		i.begin(drawn)
	}
}

// calm waits until all faults are over, and then for calmTime.
func (i *faultInjector) calm(ctx context.Context) {
	for range cap(i.parallel) {
		i.parallel <- struct{}{}
	}
	i.run.log("calm time")
	wait.Sleep(ctx, calmTime)
	for range cap(i.parallel) {
		<-i.parallel
	}
}

// begin injects a fault in a goroutine of its own.
func (i *faultInjector) begin(drawn fault) {
	i.run.faultBegins(drawn.name)
	child := &faultInjector{run: i.run, random: rand.New(rand.NewPCG(i.random.Uint64(), 1)), lastWipe: i.lastWipe}
	if drawn.wipes {
		i.lastWipe = time.Now()
	}
	go func() {
		defer func() { <-i.parallel }()
		defer i.run.faultEnds()
		if err := drawn.inject(child); err != nil {
			i.run.log("fault %q: %v", drawn.name, err)
		}
	}()
}

func (i *faultInjector) length() time.Duration {
	return shortestFault + time.Duration(i.random.Int64N(int64(longestFault-shortestFault)))
}

func (i *faultInjector) controller() *process {
	all := i.run.fleet.controllerList()
	return all[i.random.IntN(len(all))]
}

func (i *faultInjector) router() *process {
	return i.run.fleet.routers[i.random.IntN(len(i.run.fleet.routers))]
}

// on runs a fault on a process that no other fault has.
func (i *faultInjector) on(p *process, name string, inject func() error) error {
	if !p.claim() {
		return nil
	}
	defer p.release()
	i.run.log("%s: %s", p.name, name)
	defer i.run.log("%s: %s is over", p.name, name)
	return inject()
}

func (i *faultInjector) killOne(p *process) error {
	down := i.length()
	return i.on(p, fmt.Sprintf("killed for %v", down), func() error {
		p.kill()
		time.Sleep(down)
		return i.run.start(p)
	})
}

func (i *faultInjector) terminate(p *process) error {
	return i.on(p, "terminated", func() error {
		if !p.terminate(graceSeconds*time.Second) && !i.run.starved(time.Now().Add(-graceSeconds*time.Second)) {
			i.run.judge.add(RuleGraceMissed, "%s did not end within %d s of SIGTERM", p.name, graceSeconds)
		}
		return i.run.start(p)
	})
}

func (i *faultInjector) pause(p *process) error {
	down := i.length()
	return i.on(p, fmt.Sprintf("paused for %v", down), func() error {
		p.signal(syscall.SIGSTOP)
		time.Sleep(down)
		p.signal(syscall.SIGCONT)
		return nil
	})
}

// reload gives a process other seeds, in another order, and SIGHUP.
func (i *faultInjector) reload() error {
	all := i.run.fleet.all()
	p := all[i.random.IntN(len(all))]
	seeds := i.shuffledSeeds()
	return i.on(p, "reloaded with other seeds", func() error {
		if err := i.run.fleet.writeSettings(p, false, seeds); err != nil {
			return err
		}
		p.awaitHangupHandled()
		p.signal(syscall.SIGHUP)
		return nil
	})
}

func (i *faultInjector) shuffledSeeds() []string {
	all := i.run.fleet.controllerList()
	i.random.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	var seeds []string
	for _, each := range all[:maxSeeds] {
		seeds = append(seeds, address(each.ip, portControl))
	}
	return seeds
}

func (i *faultInjector) killAll(victims []*process) error {
	down := i.length() / 3
	var mine []*process
	for _, p := range victims {
		if p.claim() {
			mine = append(mine, p)
		}
	}
	i.run.log("%d processes killed at once for %v", len(mine), down)
	for _, p := range mine {
		p.signal(syscall.SIGKILL)
	}
	time.Sleep(down)
	for _, p := range mine {
		p.kill()
		if err := i.run.start(p); err != nil {
			return err
		}
		p.release()
	}
	return nil
}

// mayWipe reports whether a disk may be lost now: the state of the group tolerates that.
func (i *faultInjector) mayWipe() bool {
	return time.Since(i.lastWipe) >= wipePause && i.run.toleratesLoss()
}

// emptyDisk takes away the disk of a controller that does not run.
func (i *faultInjector) emptyDisk(p *process) error {
	i.run.tallies.LoseDisk(i.run.now(), p.ip)
	if err := os.RemoveAll(p.dataDir()); err != nil {
		return err
	}
	return i.run.fleet.writeSettings(p, false, i.shuffledSeeds())
}

// wipe takes a controller's disk away.
func (i *faultInjector) wipe() error {
	p := i.controller()
	if !i.mayWipe() {
		return nil
	}
	return i.on(p, "killed, its disk lost", func() error {
		p.kill()
		if err := i.emptyDisk(p); err != nil {
			return err
		}
		return i.run.start(p)
	})
}

// replace adds a controller with an empty disk at a new address, and takes an old one away by SIGTERM.
func (i *faultInjector) replace() error {
	p := i.controller()
	if !i.run.fleet.mayReplace() || !i.run.toleratesLoss() {
		return nil
	}
	return i.on(p, "replaced by another machine", func() error {
		added := i.run.fleet.replaceController(p)
		if err := i.run.fleet.writeSettings(added, false, i.shuffledSeeds()); err != nil {
			return err
		}
		if err := i.run.start(added); err != nil {
			return err
		}
		time.Sleep(time.Second)
		p.terminate(graceSeconds * time.Second)
		i.run.tallies.LoseDisk(i.run.now(), p.ip)
		return nil
	})
}

// partition cuts paths for a time.
func (i *faultInjector) partition(from, to []*process, both bool) error {
	down := i.length()
	var names []string
	for _, p := range from {
		names = append(names, p.name)
	}
	i.run.fleet.disturb(slices.Concat(from, to), down+aftermath)
	i.run.log("%s cut off for %v, both ways %v", strings.Join(names, ", "), down, both)
	set := func(cut bool) error {
		if err := i.run.fleet.cut(from, to, cut); err != nil || !both {
			return err
		}
		return i.run.fleet.cut(to, from, cut)
	}
	begun := i.run.now()
	if err := set(true); err != nil {
		return err
	}
	time.Sleep(down)
	defer func() { i.run.tallies.Partition(begun, i.run.now()) }()
	i.run.log("%s joined again", strings.Join(names, ", "))
	i.run.fleet.disturb(slices.Concat(from, to), aftermath)
	return set(false)
}

// cutController cuts a controller off from the other controllers, at times one way only, and at times from the routers too.
func (i *faultInjector) cutController() error {
	p := i.controller()
	others := i.run.fleet.controllerList()
	if i.random.IntN(2) == 0 {
		others = i.run.fleet.all()
	}
	from, to := []*process{p}, others
	if i.random.IntN(4) == 0 {
		from, to = to, from
	}
	return i.partition(from, to, i.random.IntN(3) > 0)
}

// cutHalves cuts the controllers in two halves; the routers reach both.
func (i *faultInjector) cutHalves() error {
	all := i.run.fleet.controllerList()
	i.random.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	return i.partition(all[:len(all)/2], all[len(all)/2:], true)
}

// cutRouter cuts a router off from some controllers.
func (i *faultInjector) cutRouter() error {
	all := i.run.fleet.controllerList()
	return i.partition([]*process{i.router()}, all[:1+i.random.IntN(len(all))], i.random.IntN(3) > 0)
}

// delay slows the paths between two processes.
func (i *faultInjector) delay() error {
	all := i.run.fleet.all()
	a, b := all[i.random.IntN(len(all))], all[i.random.IntN(len(all))]
	down, ms := i.length(), float64(20+i.random.IntN(150))
	i.run.fleet.disturb([]*process{a, b}, down+aftermath)
	i.run.log("%s and %s: %g ms more for %v", a.name, b.name, ms, down)
	links := []string{a.ip + " " + b.ip, b.ip + " " + a.ip}
	set := func(change func(faults *linkFaults, link string)) error {
		return i.run.fleet.changeFaults(func(faults *linkFaults) {
			for _, link := range links {
				change(faults, link)
			}
		})
	}
	if err := set(func(faults *linkFaults, link string) { faults.DelayMs[link] = ms }); err != nil {
		return err
	}
	time.Sleep(down)
	return set(func(faults *linkFaults, link string) { delete(faults.DelayMs, link) })
}

// disk makes a controller's disk full, slow or stalled.
func (i *faultInjector) disk() error {
	p := i.controller()
	kind := []string{diskFull, diskSlow, diskStalled}[i.random.IntN(3)]
	down := i.length()
	p.disturb(down + aftermath)
	i.run.log("%s: disk %s for %v", p.name, kind, down)
	if err := i.run.fleet.setDisk(p, kind); err != nil {
		return err
	}
	time.Sleep(down)
	p.disturb(aftermath)
	return i.run.fleet.setDisk(p, "")
}

// platformDown lets the platform fail.
func (i *faultInjector) platformDown() error {
	i.run.log("platform down")
	i.run.platform.setDown(true)
	time.Sleep(i.length())
	i.run.platform.setDown(false)
	return nil
}
