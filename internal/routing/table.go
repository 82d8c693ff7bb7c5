// Package routing compiles the operator's configuration into rules: which path an inquiry takes and the steps it goes through.
package routing

import (
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"shaletrestle/internal/clock"
	"shaletrestle/internal/config"
	"shaletrestle/internal/config/configpb"
)

// Kind says how often an inquiry may be run and how its answer comes.
type Kind int

// The kinds of paths.
const (
	Once   Kind = iota // runs at most once
	Repeat             // may run more than once
	Stream             // events; once, unless it may be resumed
)

// Op is one step of the interpreter.
type Op int

// The steps, in the order in which a path may hold them.
const (
	TakeBody Op = iota // read the body whole, inside the limit
	SetClock           // work out the deadline
	Split              // choose the service
	Fence              // keep to the allowed regions
	Whole              // send, and give the answer back whole
	Events             // send, and pass events on as they come
)

// Part is one weighted service.
type Part struct {
	Pool string
	Upto float64 // cumulated share, 0 to 1
}

// Path is one compiled route.
type Path struct {
	Name     string
	Prefix   string
	Kind     Kind
	Steps    []Op
	Parts    []Part
	Timeout  clock.Span
	Aim      clock.Span
	Gap      clock.Span
	Priority int
	Shots    int
	Sticky   bool
	Resume   bool
	Regions  map[string]bool
}

// Repeatable tells whether an inquiry on this path may run more than once.
func (p *Path) Repeatable() bool { return p.Kind == Repeat || p.Kind == Stream && p.Resume }

// Pool is one compiled service.
type Pool struct {
	Name     string
	Health   string
	Channels int
	ColdPerS float64
	ColdS    float64
	Engine   *Engine
}

// Engine tells of a model replica's memory.
type Engine struct {
	Slots      float64
	Tokens     float64
	TokenBytes float64
	LinkMbps   float64
	Stride     float64
	Models     []string
}

// Limits bound what a client may send.
type Limits struct {
	Head     int
	Body     int64
	HeadWait clock.Span
	IdleWait clock.Span
}

// Table is all of one setup epoch. It is never changed after it was made.
type Table struct {
	Epoch  int64
	hosts  map[string][]*Path
	Pools  map[string]*Pool
	Limits Limits
	Paths  int
}

// Compile makes the table of a configuration.
func Compile(d *config.Doc) *Table {
	t := &Table{Epoch: d.Epoch, hosts: map[string][]*Path{}, Pools: map[string]*Pool{}, Paths: len(d.Pb.RouteTable)}
	for _, s := range d.Pb.BackendPools {
		p := &Pool{Name: s.Name, Health: s.HealthCheckPath, Channels: int(s.MaxConnections), ColdPerS: s.WarmupPerS, ColdS: s.WarmupS}
		if e := s.Engine; e != nil {
			p.Engine = &Engine{Slots: e.Slots, Tokens: e.KvCapacityTokens, TokenBytes: e.KvTokenBytes, LinkMbps: e.LinkMbps, Stride: e.Stride}
			for _, m := range e.Models {
				p.Engine.Models = append(p.Engine.Models, m.Name)
			}
		}
		t.Pools[s.Name] = p
	}
	for _, r := range d.Pb.RouteTable {
		p := compile(r)
		h := strings.ToLower(r.Hostname)
		t.hosts[h] = append(t.hosts[h], p)
	}
	for _, ps := range t.hosts {
		sort.SliceStable(ps, func(i, j int) bool { return len(ps[i].Prefix) > len(ps[j].Prefix) })
	}
	if l := d.Pb.Limits; l != nil {
		t.Limits = Limits{int(l.MaxHeaderBytes), int64(l.MaxBodyBytes), clock.Millis(l.HeaderTimeoutMs), clock.Millis(l.IdleTimeoutMs)}
	}
	return t
}

func compile(r *configpb.Path) *Path {
	p := &Path{Name: r.Name, Prefix: r.PathPrefix, Timeout: clock.Millis(r.TimeoutMs), Aim: clock.Millis(r.TargetLatencyMs), Gap: clock.Millis(r.TargetGapMs),
		Priority: int(r.Priority), Shots: max(1, int(r.MaxAttempts)), Sticky: r.SessionAffinity, Resume: r.StreamResume}
	last := Whole
	switch r.RouteType {
	case "idempotent":
		p.Kind = Repeat
	case "streaming":
		p.Kind, last = Stream, Events
	}
	if len(r.WeightedBackends) == 0 {
		p.Parts = []Part{{r.BackendPool, 1}}
	} else {
		sum, at := 0.0, 0.0
		for _, w := range r.WeightedBackends {
			sum += w.Weight
		}
		for _, w := range r.WeightedBackends {
			if w.Weight > 0 {
				at += w.Weight / sum
				p.Parts = append(p.Parts, Part{w.BackendPool, at})
			}
		}
	}
	p.Steps = []Op{TakeBody, SetClock, Split}
	if len(r.AllowedRegions) > 0 {
		p.Regions = map[string]bool{}
		for _, x := range r.AllowedRegions {
			p.Regions[x] = true
		}
		p.Steps = append(p.Steps, Fence)
	}
	p.Steps = append(p.Steps, last)
	return p
}

// Match finds the path with the longest prefix for a host and a raw target, nil if there is none.
func (t *Table) Match(host, target string) *Path {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	if i := strings.IndexAny(target, "?#"); i >= 0 {
		target = target[:i]
	}
	for _, p := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(target, p.Prefix) {
			return p
		}
	}
	return nil
}

// Choose gives the service for an affinity key; the same key keeps its service while the weights stay.
func (p *Path) Choose(key string) string {
	if len(p.Parts) == 1 {
		return p.Parts[0].Pool
	}
	x := float64(xxhash.Sum64String(p.Name+"\x00"+key)>>11) / (1 << 53)
	for _, q := range p.Parts {
		if x < q.Upto {
			return q.Pool
		}
	}
	return p.Parts[len(p.Parts)-1].Pool
}
