package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"shaletrestle/coord/counter/countertest"
	"shaletrestle/coord/invariant"
	"shaletrestle/coord/wait"
	"shaletrestle/internal/adminapi"
	"shaletrestle/internal/settings"
)

const (
	startTimeout    = 20 * time.Second
	recoverTimeout  = 20 * time.Second // of the service after the last fault; recover_s is 12
	recordInterval  = 50 * time.Millisecond
	starvedLateness = 400 * time.Millisecond // a timer this late shows that the machine had no time for this process
	starvedInterval = 20 * time.Millisecond
	deskReplicas    = 3
	modelReplicas   = 3
	readerCount     = 3
	replicaOverlap  = 2 // faults of replicas and the platform at the same time at most
)

// Options say what a run does.
type Options struct {
	Seed     uint64
	Duration time.Duration // of the faults; the start and the recovery come in addition
	Overlap  int           // faults of processes, paths and disks at the same time at most
	Clients  int
	Routers  int    // 3 if 0, 110 at most
	Shared   bool   // routers and controllers stand on the same machines, as far as both go
	Dir      string // of settings, data and logs; must be there
	Bin      string // of the daemons, as Build made them
}

// defaultRouters is the number of routers if none is asked for.
const defaultRouters = 3

func (o *Options) routers() int {
	if o.Routers == 0 {
		return defaultRouters
	}
	return min(o.Routers, maxRouters)
}

// Run is one soak run.
type Run struct {
	options  Options
	start0   time.Time
	judge    *judge
	fleet    *fleet
	platform *platform
	register registerHistory
	tallies  *countertest.History
	routes   addedRouteSet
	logFile  *os.File

	mu            sync.Mutex     // guards the fields below
	faultCounts   map[string]int // by name
	incarnations  int            // of replicas, to tell them apart
	nextReplica   int            // last octet of the newest replica's address
	faultsNow     int
	calmFrom      time.Time // when the last fault ended
	starvedAt     time.Time // when a timer was too late last
	worstLateness time.Duration
}

// Report is what a run found.
type Report struct {
	Violations    []Violation
	Counts        map[Rule]int // of all violations
	Summary       []string
	Faults        map[string]int
	WorstLateness time.Duration
	Undecided     bool // the history of the operators was too long to decide
	Operations    int  // of the operators
}

// Execute makes a run. An error says that it could not be put up.
func Execute(ctx context.Context, options Options) (*Report, error) {
	r := &Run{options: options, start0: time.Now(), judge: newJudge(), tallies: newTallyHistory(), faultCounts: map[string]int{}, nextReplica: firstReplica - 1}
	logFile, err := os.Create(filepath.Join(options.Dir, "run.txt"))
	if err != nil {
		return nil, err
	}
	r.logFile = logFile
	defer func() { _ = logFile.Close() }()
	defer r.stopAll()
	if err := r.putUp(ctx); err != nil {
		return nil, err
	}
	r.load(ctx)
	r.finish(ctx)
	return r.report(), nil
}

func (r *Run) now() time.Duration { return time.Since(r.start0) }

// log writes a line of the run's own log: what was done when.
func (r *Run) log(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.logFile, "%s %8.3f s %s\n", time.Now().UTC().Format("15:04:05.000"), r.now().Seconds(), fmt.Sprintf(format, arguments...))
}

// putUp starts everything and waits until it serves.
func (r *Run) putUp(ctx context.Context) error {
	prefix, err := freePrefix()
	if err != nil {
		return err
	}
	r.log("seed %d, addresses %s*", r.options.Seed, prefix)
	if r.fleet, err = newFleet(prefix, r.options.Dir, r.options.Bin, r.options.routers(), r.options.Shared); err != nil {
		return err
	}
	if r.platform, err = startPlatform(address(prefix+strconv.Itoa(platformAddress), portPlatform)); err != nil {
		return err
	}
	for number := range deskReplicas + modelReplicas {
		service := serviceDesk
		if number >= deskReplicas {
			service = serviceModel
		}
		if err := r.addReplica(service, r.newReplicaAddress(), zones[number%len(zones)]); err != nil {
			return err
		}
	}
	go wait.Every(ctx, recordInterval, func() bool { r.platform.record(); return true })
	go r.watchLateness(ctx)
	for _, p := range r.fleet.all() {
		if err := r.start(p); err != nil {
			return err
		}
	}
	if err := r.putFirst(ctx); err != nil {
		return err
	}
	return r.awaitReady(ctx, startTimeout)
}

// freePrefix finds three octets whose machines have their ports free.
func freePrefix() (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d.", 100+rand.IntN(100), rand.IntN(250))
		probe, err := startPlatform(address(prefix+strconv.Itoa(platformAddress), portPlatform))
		if err == nil {
			probe.close()
			return prefix, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// start starts a process; its end is a violation unless a fault asked for it.
func (r *Run) start(p *process) error { return r.startLogging(p, logToFile) }

func (r *Run) startLogging(p *process, kind logKind) error {
	p.disturb(aftermath)
	return p.start(kind, func(p *process, end ending) {
		r.log("%s ended by itself: %v", p.name, end)
		r.judge.add(RuleEnded, "%s ended by itself: %v", p.name, end)
	})
}

// putFirst puts the first configuration, until it is taken.
func (r *Run) putFirst(ctx context.Context) error {
	body, err := json.Marshal(firstConfiguration(firstMarker))
	if err != nil {
		return err
	}
	client, random := newHTTPClient(), rand.New(rand.NewPCG(r.options.Seed, 9))
	end := time.Now().Add(startTimeout)
	for time.Now().Before(end) {
		if got := call(ctx, client, http.MethodPut, r.anyController(random), "0", body); got.status == http.StatusOK {
			return nil
		}
		wait.Sleep(ctx, maxRetryPause)
	}
	return errors.New("the first configuration was not taken")
}

// firstMarker is that of the first configuration.
const firstMarker = "first"

func (r *Run) awaitReady(ctx context.Context, timeout time.Duration) error {
	client := newHTTPClient()
	end := time.Now().Add(timeout)
	for _, router := range r.fleet.routers {
		for call(ctx, client, http.MethodGet, "http://"+address(router.ip, portReadiness)+"/v1/readiness", "", nil).status != http.StatusOK {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", router.name, timeout)
			}
			wait.Sleep(ctx, recordInterval)
		}
	}
	return nil
}

// load runs clients, operators and faults beside each other for the duration of the run.
func (r *Run) load(ctx context.Context) {
	faults, stopFaults := context.WithTimeout(ctx, r.options.Duration)
	defer stopFaults()
	load, stopLoad := context.WithCancel(ctx)
	var all sync.WaitGroup
	for number := range r.options.Clients {
		all.Go(func() { newClient(r, number).work(load) })
	}
	for number := range 2 {
		all.Go(func() { newOperator(r, fmt.Sprintf("op%d", number), uint64(50+number)).work(load) })
	}
	for number := range readerCount {
		all.Go(func() { r.readAll(load, uint64(60+number)) })
	}
	for number := range tallyCallers {
		all.Go(func() { r.callTallies(load, number) })
	}
	all.Go(func() { newProber(r).work(load) })
	replicas := newFaultInjector(r, replicaFaults, replicaOverlap, 6)
	all.Go(func() { replicas.work(faults) })
	newFaultInjector(r, allFaults(), r.options.Overlap, 5).work(faults)
	r.log("no more faults")
	wait.Sleep(ctx, aftermath)
	stopLoad()
	all.Wait()
}

// finish checks that everything is served again, and what only the end shows.
func (r *Run) finish(ctx context.Context) {
	client, random := newHTTPClient(), rand.New(rand.NewPCG(r.options.Seed, 10))
	if err := r.awaitReady(ctx, recoverTimeout); err != nil {
		r.judge.add(RuleRecover, "%v", err)
	}
	begun := time.Now()
	last := newOperator(r, "last", 11)
	acked := false
	for !acked && time.Since(begun) < recoverTimeout {
		last.readBase(ctx)
		before := r.judge.counted("changes answered 200")
		last.makeChange(ctx)
		acked = r.judge.counted("changes answered 200") > before
	}
	if !acked && !r.starved(begun) {
		r.judge.add(RuleRecover, "no change was acknowledged within %v after the last fault", recoverTimeout)
	}
	for range controllerCount {
		r.read(ctx, client, random)
	}
	r.checkTallies(ctx)
	r.judge.finish()
	r.log("finished")
}

// stopAll ends all processes and stand-ins.
func (r *Run) stopAll() {
	if r.fleet == nil {
		return
	}
	for _, p := range r.fleet.all() {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	if r.platform == nil {
		return
	}
	for _, each := range r.platform.current() {
		each.stop()
	}
	r.platform.close()
}

// report sums the run up. The processes' logs are searched for violated invariants and panics.
func (r *Run) report() *Report {
	ok, decided := r.register.check(registerState{1, firstMarker})
	if !ok {
		r.judge.add(RuleConfig, "the history of the operators' %d calls is not that of one register", r.register.size())
	}
	r.searchLogs()
	r.checkMemory()
	report := &Report{
		Violations: r.judge.violations,
		Counts:     r.judge.counts,
		Summary:    r.judge.summary(),
		Faults:     r.faultCounts,
		Undecided:  !decided,
		Operations: r.register.size(),
	}
	r.mu.Lock()
	report.WorstLateness = r.worstLateness
	r.mu.Unlock()
	for _, each := range report.Violations {
		r.log("violation %s", each)
	}
	return report
}

// logAlarms are texts in the daemons' logs that no run may show.
var logAlarms = []string{invariant.LogMessage, "panic: ", "fatal error: ", "DATA RACE"}

func (r *Run) searchLogs() {
	files, _ := filepath.Glob(filepath.Join(r.options.Dir, "*", "log-*.txt"))
	slices.Sort(files)
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(file)
		lines.Buffer(nil, adminapi.MaxConfigurationBytes)
		for lines.Scan() {
			for _, alarm := range logAlarms {
				if strings.Contains(lines.Text(), alarm) {
					r.judge.add(RuleInvariant, "%s: %s", name, lines.Text())
				}
			}
		}
		_ = file.Close()
	}
}

// checkMemory holds the largest resident memory of each process against its settings, and sums it up by program.
func (r *Run) checkMemory() {
	largest := map[string]float64{}
	slowestRead := time.Duration(0)
	for _, p := range r.fleet.all() {
		slowestRead = max(slowestRead, p.slowestLogRead())
		peak := p.peakMemory()
		largest[p.program] = max(largest[p.program], peak)
		if peak > daemonMemoryMB {
			r.judge.add(RuleMemory, "%s had %.0f MiB resident, %d are granted", p.name, peak, daemonMemoryMB)
		}
	}
	r.log("largest resident memory in MiB: %v", largest)
	r.log("longest time from the end of a process to the end of the reading of its log: %v", slowestRead)
}

// newReplicaAddress gives an address that no replica had.
func (r *Run) newReplicaAddress() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextReplica++
	return r.fleet.prefix + strconv.Itoa(r.nextReplica)
}

// addReplica starts a new incarnation of a replica and has it listed.
func (r *Run) addReplica(service, ip, zone string) error {
	r.mu.Lock()
	r.incarnations++
	number := r.incarnations
	r.mu.Unlock()
	added, err := startReplica(r.judge, service, ip, zone, number)
	if err != nil {
		return err
	}
	r.platform.change(func(replicas []*replica) []*replica { return append(replicas, added) })
	return nil
}

func (r *Run) removeReplica(gone *replica) {
	r.platform.change(func(replicas []*replica) []*replica {
		return slices.DeleteFunc(slices.Clone(replicas), func(each *replica) bool { return each == gone })
	})
}

// faultBegins and faultEnds count the faults under way.
func (r *Run) faultBegins(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultCounts[name]++
	r.faultsNow++
}

func (r *Run) faultEnds() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultsNow--
	r.calmFrom = time.Now().Add(aftermath)
}

// calmSince reports whether there was no fault at all since a moment, aftermath included.
func (r *Run) calmSince(moment time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faultsNow == 0 && r.calmFrom.Before(moment)
}

// watchLateness measures how late this process's own timers are.
func (r *Run) watchLateness(ctx context.Context) {
	last := time.Now()
	wait.Every(ctx, starvedInterval, func() bool {
		now := time.Now()
		lateness := now.Sub(last) - starvedInterval
		last = now
		r.mu.Lock()
		defer r.mu.Unlock()
		r.worstLateness = max(r.worstLateness, lateness)
		if lateness > starvedLateness {
			r.starvedAt = now
		}
		return true
	})
}

// starved reports whether the machine had no time for this process at some moment since then: nothing that has a bound in
// time is judged.
func (r *Run) starved(since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starvedAt.After(since)
}

// toleratesLoss reports whether the group bears the loss of a disk now: a primary says so, and the other controllers run.
func (r *Run) toleratesLoss() bool {
	client := newHTTPClient()
	tolerated := false
	for _, p := range r.fleet.controllerList() {
		got := call(context.Background(), client, http.MethodGet, "http://"+address(p.ip, portFirstInternal+settings.ControlStatePortOffset)+"/", "", nil)
		if got.status != http.StatusOK {
			return false
		}
		var page struct {
			Replication struct {
				Active    bool `json:"active"`
				Tolerated int  `json:"losses_borne"`
			} `json:"replication"`
		}
		if json.Unmarshal(got.body, &page) != nil {
			return false
		}
		tolerated = tolerated || page.Replication.Active && page.Replication.Tolerated >= toleratedLosses
	}
	return tolerated
}
