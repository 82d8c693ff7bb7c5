package settings

import "fmt"

// LongWork are the options of long work between nodes (package coord/handoff, docs/long-work.md). A number that is 0
// takes its default.
type LongWork struct {
	// Enabled lets nodes hand long work to each other. Default false.
	Enabled bool `yaml:"enabled"`
	// PatientTargets makes routes patient whose time-out is so many times their latency target or more: somebody waits
	// for a place there. Default 8.
	PatientTargets float64 `yaml:"patient"`
	// HeavyTargets makes requests long that run so many times the latency target of their route or more. Default 4.
	HeavyTargets float64 `yaml:"heavy"`
	// MaxAcceptedJobs is the number of jobs of other nodes that run here at once, at most [AcceptedJobsLimit]; each
	// holds a body and a stream. Default 4.
	MaxAcceptedJobs int `yaml:"takes"`
	// Always hands over whenever a neighbour has capacity, not only when this node is overloaded. Default false.
	Always bool `yaml:"always"`
	// OtherZones also hands over to neighbours in other zones. Default false.
	OtherZones bool `yaml:"other_zones"`
}

// Defaults of LongWork.
const (
	defaultPatientTargets  = 8.0
	defaultHeavyTargets    = 4.0
	defaultMaxAcceptedJobs = 4
)

// AcceptedJobsLimit bounds the jobs of other nodes that run here at once; no setting may allow more.
const AcceptedJobsLimit = 256

// firstInvalid gives the first key whose value is out of bounds, and what it must be; both are empty if none is.
func (l *LongWork) firstInvalid() (key, want string) {
	switch {
	case !validNumber(l.PatientTargets):
		return "patient", "a number of 0 or more"
	case !validNumber(l.HeavyTargets):
		return "heavy", "a number of 0 or more"
	case l.MaxAcceptedJobs < 0 || l.MaxAcceptedJobs > AcceptedJobsLimit:
		return "takes", fmt.Sprintf("between 0 and %d", AcceptedJobsLimit)
	}
	return "", ""
}

func (l *LongWork) setDefaults() {
	if l.PatientTargets == 0 {
		l.PatientTargets = defaultPatientTargets
	}
	if l.HeavyTargets == 0 {
		l.HeavyTargets = defaultHeavyTargets
	}
	if l.MaxAcceptedJobs == 0 {
		l.MaxAcceptedJobs = defaultMaxAcceptedJobs
	}
}
