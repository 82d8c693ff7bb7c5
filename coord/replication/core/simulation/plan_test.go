package simulation

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"shaletrestle/coord/replication/core"
)

// profile says how many faults may come together.
type profile uint8

const (
	tolerated profile = iota // as the deployment bears them: safety and liveness are checked
	beyond                   // more than that, but for the disks that may be lost: only safety is checked
)

func (p profile) String() string {
	if p == tolerated {
		return "tolerated"
	}
	return "beyond"
}

type faultKind uint8

const (
	killFault      faultKind = iota // the process dies and starts again
	powerFault                      // the machine loses power and starts again
	wipeFault                       // the same, and its disk is lost
	freezeFault                     // the process stands still
	cutFault                        // from all other members, both ways
	muteFault                       // what it sends is cut
	deafFault                       // what it should get is cut
	pairFault                       // cut off from one other member only
	slowFault                       // its messages are slow
	lossyFault                      // its messages are lost often
	diskSlowFault                   //
	diskStallFault                  //
	diskFullFault                   //
	replaceFault                    // it is gone for good; an empty one comes at another address
	takeOverFault                   // the same, and the empty one comes at its address
	planFault                       // planned: the empty one comes first, then the old one leaves
	restartFault                    // planned: it leaves, and starts again with its disk
	growFault                       // one more member
	shrinkFault                     // one that was added is gone for good, after leaving or without a word
	oldDiskFault                    // it is replaced, and later its old disk comes up at the address of another that is gone
	powerAllFault                   // all lose power; some may lose their disks
	killAllFault                    // all processes die
	zonePowerFault                  // a zone loses power
	zoneCutFault                    // a zone is cut off from the others
	splitFault                      // some members are cut off from the others, and hear each other
	ackFault                        // answers to clients are lost
	faultKinds
)

var faultNames = [faultKinds]string{
	"kill", "power", "wipe", "freeze", "cut", "mute", "deaf", "pair", "slow", "lossy", "diskSlow", "diskStall", "diskFull", "replace", "takeOver",
	"plan", "restart", "grow", "shrink", "oldDisk", "powerAll", "killAll", "zonePower", "zoneCut", "split", "ack",
}

func (k faultKind) String() string { return faultNames[k] }

// fault is one entry of a plan.
type fault struct {
	At     time.Duration
	Kind   faultKind
	Slot   int           // which member, among those there are then
	For    time.Duration // how long it lasts, or the machine is down
	Amount int           // of the kind's own meaning
	When   moment        // it strikes at the first such moment after At
	actor  *host         // of that moment
}

// moment is a step of the protocol at which a fault may strike.
type moment uint8

const (
	anyMoment moment = iota
	preparesMoment
	offersMoment
	proposesMoment
	installsMoment
	leadsMoment
	appendsMoment
	commitsMoment
	moments
)

var momentNames = [moments]string{"any", "prepares", "offers", "proposes", "installs", "leads", "appends", "commits"}

func (m moment) String() string { return momentNames[m] }

// String is the fault as the source of a test writes it.
func (f fault) String() string {
	return fmt.Sprintf("{At: %d * time.Millisecond, Kind: %sFault, Slot: %d, For: %d * time.Millisecond, Amount: %d, When: %sMoment},", f.At.Milliseconds(), f.Kind, f.Slot, f.For.Milliseconds(), f.Amount, f.When)
}

type plan []fault

func (p plan) String() string {
	var lines []string
	for _, f := range p {
		lines = append(lines, "\t"+f.String())
	}
	return "plan{\n" + strings.Join(lines, "\n") + "\n}"
}

// weights say how often a kind of fault comes.
var weights = [faultKinds]int{
	killFault: 8, powerFault: 10, wipeFault: 8, freezeFault: 10, cutFault: 8, muteFault: 5, deafFault: 5, pairFault: 3, slowFault: 4, lossyFault: 3,
	diskSlowFault: 2, diskStallFault: 3, diskFullFault: 3, replaceFault: 5, takeOverFault: 3, planFault: 6, restartFault: 4, growFault: 4,
	shrinkFault: 8, oldDiskFault: 3, powerAllFault: 2, killAllFault: 1, zonePowerFault: 2, zoneCutFault: 2, splitFault: 4, ackFault: 4,
}

// newPlan draws a plan.
func newPlan(s settings, p profile, random *rand.Rand) plan {
	total := 0
	for _, weight := range weights {
		total += weight
	}
	gap := []time.Duration{700 * time.Millisecond, 2 * time.Second, 5 * time.Second}[random.IntN(3)]
	at := s.SyncTime
	if p == beyond {
		at = []time.Duration{time.Second, 20 * time.Millisecond}[random.IntN(2)]
	}
	var made plan
	for {
		at += time.Duration(random.ExpFloat64() * float64(gap))
		if at >= s.Horizon {
			return made
		}
		made = append(made, fault{
			At:     at,
			Kind:   drawKind(random, total),
			Slot:   random.IntN(64),
			For:    drawLength(random),
			Amount: random.IntN(1 << 16),
			When:   drawMoment(random),
		})
	}
}

func drawKind(random *rand.Rand, total int) faultKind {
	dice := random.IntN(total)
	for kind, weight := range weights {
		if dice < weight {
			return faultKind(kind)
		}
		dice -= weight
	}
	panic("the weights don't add up")
}

// drawMoment lets half of the faults strike at a step of the protocol.
func drawMoment(random *rand.Rand) moment {
	if random.IntN(2) == 0 {
		return anyMoment
	}
	return moment(random.IntN(int(moments)))
}

// drawLength prefers lengths around the time-outs of the core, and some that are much longer.
func drawLength(random *rand.Rand) time.Duration {
	bounds := [][2]int{{10, 60}, {10, 400}, {900, 1400}, {900, 1400}, {10, 1500}, {10, 4000}, {10, 20000}}
	chosen := bounds[random.IntN(len(bounds))]
	return time.Duration(chosen[0]+random.IntN(chosen[1]-chosen[0])) * time.Millisecond
}

// newSettings draws the cluster that a seed has.
func newSettings(p profile, random *rand.Rand) settings {
	shapes := []settings{
		{Members: 5, Zones: 5, Losses: 1, SyncTime: 4 * time.Second},
		{Members: 5, Zones: 3, Losses: 1, SyncTime: 4 * time.Second},
		{Members: 7, Zones: 3, Losses: 1, SyncTime: 4 * time.Second},
		{Members: 5, Zones: 5, Losses: 2, SyncTime: 6 * time.Second},
		{Members: 6, Zones: 3, Losses: 2, SyncTime: 6 * time.Second},
		{Members: 7, Zones: 5, Losses: 2, SyncTime: 6 * time.Second},
	}
	s := shapes[random.IntN(len(shapes))]
	s.Relays = random.IntN(2)
	s.Ordered = random.IntN(2) == 0
	s.ZoneDelay = time.Duration(1+random.IntN(4)) * time.Millisecond
	s.FarDelay = s.ZoneDelay + time.Duration(random.IntN(30))*time.Millisecond
	s.LossRate = []float64{0, 0, 0.002, 0.01}[random.IntN(4)]
	s.RepeatRate = []float64{0, 0.005, 0.03}[random.IntN(3)]
	s.RepeatWait = lateWait
	if p == beyond {
		s.RepeatWait = veryLateWait
	}
	s.LateRate = []float64{0, 0.005, 0.02}[random.IntN(3)]
	s.DiskSync = time.Duration(2+random.IntN(8)) * time.Millisecond
	s.Lazy = random.IntN(3) > 0
	s.Clients = 2 + random.IntN(3)
	s.Pause = time.Duration(20+random.IntN(150)) * time.Millisecond
	s.Horizon = 25 * time.Second
	parts := []int{2000, 16 << 10, 256 << 10}
	if p == beyond {
		parts[0] = 300 // a transfer takes long
	}
	s.Limits = core.Limits{
		SnapshotChunkBytes: parts[random.IntN(len(parts))],
		LogBytes:           []int{500, 4000, 100_000}[random.IntN(3)],
		EntryCacheBytes:    []int{200, 2000, 50_000}[random.IntN(3)],
		MaxPending:         []int{4, 64}[random.IntN(2)],
	}
	return s
}
