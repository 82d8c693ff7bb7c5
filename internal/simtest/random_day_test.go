package simtest

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Random days: how many are played, and more of them by a variable of the environment.
const (
	randomDays    = 3
	randomDaysEnv = "RANDOM_DAYS" // first and last seed, as 1-400
	dayEvents     = 14
)

// randomDay is a day of faults drawn from a seed. One operator makes changes one after the other.
type randomDay struct {
	s        *Script
	draw     *rand.Rand
	revision int
	zone     string   // evacuated, or empty
	core     []string // the controllers of the moment
	added    int      // machines added
	pending  []string // lines that end lasting faults
	lines    []string // what was done, for a failing seed
}

func (d *randomDay) do(format string, a ...any) error {
	line := fmt.Sprintf(format, a...)
	d.lines = append(d.lines, line)
	f := strings.Fields(line)
	if err := d.s.run(f[0], f[1:]); err != nil {
		return fmt.Errorf("%s: %w", line, err)
	}
	return nil
}

func (d *randomDay) pause(shortest, longest time.Duration) error {
	ms := int64(shortest/time.Millisecond) + d.draw.Int64N(int64((longest-shortest)/time.Millisecond))
	return d.do("wait %dms", ms)
}

func (d *randomDay) of(names ...string) string { return names[d.draw.IntN(len(names))] }

// run plays the day: a start, faults, an end at which everything must work again.
func (d *randomDay) run() error {
	steps := []func() error{d.start}
	for range dayEvents {
		steps = append(steps, d.event)
	}
	for _, step := range append(steps, d.end) {
		if err := step(); err != nil {
			return err
		}
	}
	d.s.background.Wait()
	d.s.sim.judgeScenario()
	return d.s.verdict("random day")
}

func (d *randomDay) all(lines ...string) error {
	for _, line := range lines {
		if err := d.do("%s", line); err != nil {
			return err
		}
	}
	return nil
}

func (d *randomDay) start() error {
	d.revision = 5
	d.core = []string{"controller-1", "controller-2", "controller-3"}
	return d.all(
		"connected_only",
		"fleet controllers=3 routers=3",
		"replica r1 pool=svc zone=a slots=20",
		"replica r2 pool=svc zone=b slots=20",
		"replica r3 pool=svc zone=c slots=20",
		"replica m1 pool=lm zone=a slots=20",
		"replica m2 pool=lm zone=b slots=20",
		"replica m3 pool=lm zone=c slots=20",
		"wait 1s",
		"put 5 base=0 expect=200",
		"wait 1500ms",
		"load router=router-1,router-2,router-3 path=/n/x rate=30 for=40s once=1",
		"load router=router-1,router-2,router-3 path=/i/x rate=30 for=40s",
		"load router=router-1,router-2,router-3 path=/s/x rate=10 for=40s once=1 prefix=aa:100",
		"load router=router-1,router-2,router-3 path=/t/x rate=10 for=40s prefix=aa:100;bb:50",
	)
}

// lasts begins a fault whose end comes some time later, beside other faults at times.
func (d *randomDay) lasts(longest time.Duration, begin, end string) error {
	if err := d.do("%s", begin); err != nil {
		return err
	}
	d.pending = append(d.pending, end)
	if d.draw.IntN(3) == 0 {
		if err := d.change(); err != nil {
			return err
		}
	}
	return d.pause(100*time.Millisecond, longest)
}

// endPending ends the lasting faults.
func (d *randomDay) endPending() error {
	lines := d.pending
	d.pending = nil
	return d.all(lines...)
}

// coreMember draws a controller.
func (d *randomDay) coreMember() string { return d.of(d.core...) }

// othersOf names the other controllers.
func (d *randomDay) othersOf(who string) (others []string) {
	for _, name := range d.core {
		if name != who {
			others = append(others, name)
		}
	}
	return others
}

// event causes one fault or order; what lasts ends before it or goes on beside it.
func (d *randomDay) event() error {
	if d.draw.IntN(2) == 0 {
		if err := d.endPending(); err != nil {
			return err
		}
	}
	events := []func() error{
		d.change, d.change, d.evacuation, d.freeze, d.freeze, d.cut, d.cut, d.restart, d.replace, d.replace, d.resets, d.replicaFault, d.replicaFault, d.draining, d.diskFault, d.lostAnswers, d.platformDown,
	}
	if err := events[d.draw.IntN(len(events))](); err != nil {
		return err
	}
	return d.pause(50*time.Millisecond, 1500*time.Millisecond)
}

// change makes the next change and sends it until it is acknowledged; with one operator it may never be rejected.
func (d *randomDay) change() error {
	next := d.revision + 1 + d.draw.IntN(4)
	err := d.do("patch %d base=%d add=new%d expect=200,0", next, d.revision, next)
	if err != nil {
		return err
	}
	d.s.sim.mu.Lock()
	taken := strings.Contains(d.s.sim.operator.newest.body, fmt.Sprintf(`"revision":%d,`, next))
	d.s.sim.mu.Unlock()
	if !taken { // without a clear answer: the same order goes on
		if err := d.mend(); err != nil {
			return err
		}
		if err := d.do("patch %d base=%d add=new%d expect=200 within=10s", next, d.revision, next); err != nil {
			return err
		}
	}
	d.revision = next
	if d.draw.IntN(2) == 0 {
		return d.do("repeat_last expect=200,0")
	}
	return nil
}

// mend ends whatever may keep the control side from working.
func (d *randomDay) mend() error {
	if err := d.endPending(); err != nil {
		return err
	}
	return d.all("lose_answers percent=0", "wait 2s")
}

func (d *randomDay) evacuation() error {
	if d.zone != "" {
		zone := d.zone
		d.zone = ""
		return d.do("end_evacuation %s expect=200,0", zone)
	}
	d.zone = d.of("a", "b", "c")
	return d.do("evacuate %s expect=200,0", d.zone)
}

func (d *randomDay) freeze() error {
	who := d.of(d.coreMember(), d.coreMember(), "router-1", "router-2")
	return d.lasts(5*time.Second, "freeze "+who, "thaw "+who)
}

func (d *randomDay) cut() error {
	who := d.coreMember()
	to := strings.Join(d.othersOf(who), ",") + d.of("", ",router-1", ",router-1,router-2")
	return d.lasts(5*time.Second, "partition "+who+" "+to+d.of("", " oneway=1"), "heal")
}

func (d *randomDay) restart() error {
	who := d.of(d.coreMember(), d.coreMember(), "router-1", "router-2", strings.Join(d.core, " "))
	if err := d.do("%s %s", d.of("kill", "power_off"), who); err != nil {
		return err
	}
	if err := d.pause(50*time.Millisecond, 2*time.Second); err != nil {
		return err
	}
	return d.do("start %s", who)
}

// replace takes a controller away with its disk and puts an empty one up at another address, while nothing else is wrong.
func (d *randomDay) replace() error {
	if err := d.mend(); err != nil {
		return err
	}
	who := d.coreMember()
	others := d.othersOf(who)
	d.added++
	fresh := controllerName(3 + d.added)
	d.core = append(others, fresh)
	err := d.all(
		d.of("wipe "+who, "shutdown "+who),
		"seeds "+strings.Join(others, " "),
		fmt.Sprintf("add %s zone=%s", fresh, d.of("a", "b", "c")),
		"start "+fresh,
		"reload router-1 router-2 router-3 "+strings.Join(d.core, " "),
	)
	if err != nil {
		return err
	}
	return d.pause(4*time.Second, 5*time.Second)
}

func (d *randomDay) resets() error {
	return d.do("reset_connections %s", d.of(d.coreMember(), d.coreMember(), d.coreMember(), "router-1", "router-2", "router-3"))
}

func (d *randomDay) replicaFault() error {
	who := d.of("r1", "r2", "r1,r2", "m1", "m2,m3")
	how := d.of("full", "busy", "slow", "dark", "reset", "error", "unable", "noseal", "wrongid", "garble", "extra", "cut", "stall")
	return d.lasts(3*time.Second, fmt.Sprintf("behaviour %s %s percent=%d", who, how, 20+d.draw.IntN(81)), "behaviour "+who+" ok")
}

func (d *randomDay) draining() error {
	who := d.of("r3", "m3")
	return d.lasts(6*time.Second, "state "+who+" draining", "state "+who+" ready")
}

func (d *randomDay) diskFault() error {
	who := d.coreMember()
	return d.lasts(3*time.Second, "disk "+who+" "+d.of("full", "stall", "slow"), "disk "+who+" ok")
}

func (d *randomDay) lostAnswers() error {
	if err := d.do("lose_answers percent=%d", 20+d.draw.IntN(50)); err != nil {
		return err
	}
	if err := d.change(); err != nil {
		return err
	}
	return d.do("lose_answers percent=0")
}

func (d *randomDay) platformDown() error {
	return d.lasts(3*time.Second, "platform down", "platform up")
}

// end heals everything; then all that was acknowledged is there and all is served.
func (d *randomDay) end() error {
	if err := d.mend(); err != nil {
		return err
	}
	if d.zone != "" {
		if err := d.do("end_evacuation %s expect=200 within=8s", d.zone); err != nil {
			return err
		}
	}
	return d.all(
		"wait 4s",
		"primary within=4s",
		fmt.Sprintf("read %d within=8s", d.revision),
		"ready router-1 router-2 router-3 within=5s",
		"request router=router-1 path=/n/x once=1 expect=200 n=3",
		"request router=router-2 path=/s/x once=1 expect=200 n=3",
		"request router=router-3 path=/t/x expect=200 n=3",
	)
}

// seedsOf are the seeds to be played.
func seedsOf(t *testing.T) (first, last int) {
	text := os.Getenv(randomDaysEnv)
	if text == "" {
		return 1, randomDays
	}
	a, b, _ := strings.Cut(text, "-")
	first, err := strconv.Atoi(a)
	require.NoError(t, err)
	last, err = strconv.Atoi(b)
	require.NoError(t, err)
	return first, last
}

// TestRandomDays checks days of drawn faults against all rules.
func TestRandomDays(t *testing.T) {
	first, last := seedsOf(t)
	for seed := first; seed <= last; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { playRandomDay(t, uint64(seed)) })
		})
	}
}

func playRandomDay(t *testing.T, seed uint64) {
	sim := NewSimulation(slog.New(slog.DiscardHandler))
	d := &randomDay{s: &Script{sim: sim, failed: map[int]int{}}, draw: rand.New(rand.NewPCG(seed, seed))}
	err := d.run()
	d.s.background.Wait()
	sim.Close()
	time.Sleep(10 * time.Second)
	require.NoError(t, err, "seed %d:\n%s", seed, strings.Join(d.lines, "\n"))
}
