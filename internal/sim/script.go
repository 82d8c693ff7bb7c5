package sim

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"shaletrestle/coord/replication/core"
)

// setupOf is the configuration of the scenarios at a revision; extra routes and flaws are asked for by name.
func setupOf(rev int, extra, flaw string) string {
	pool, weight, timeout, second := "svc", "", "3000", ""
	switch flaw {
	case "unknown_service":
		pool = "nowhere"
	case "no_weight":
		weight = `,"weighted_backends":[{"backend_pool":"svc","weight":0}]`
	case "no_timeout":
		timeout = "0"
	case "same_place":
		second = `,{"name":"r-twin","hostname":"h.example","path_prefix":"/i/","route_type":"idempotent","timeout_ms":3000,"backend_pool":"svc"}`
	}
	route := func(name, prefix, kind, pool string, shots int, more string) string {
		return fmt.Sprintf(`{"name":%q,"hostname":"h.example","path_prefix":%q,"route_type":%q,"timeout_ms":%s,"target_latency_ms":400,"priority":1,"backend_pool":%q,"max_attempts":%d,"x_unknown":{"kept":[1,2.50]}%s}`,
			name, prefix, kind, timeout, pool, shots, more)
	}
	rs := []string{
		route("r-i", "/i/", "idempotent", pool, 2, weight),
		route("r-f", "/f/", "idempotent", "few", 2, ""),
		route("r-n", "/n/", "non_idempotent", "svc", 2, ""),
		route("r-s", "/s/", "streaming", "lm", 1, `,"session_affinity":true,"target_gap_ms":200`),
		route("r-t", "/t/", "streaming", "lm", 2, `,"session_affinity":true,"stream_resume":true,"target_gap_ms":200`),
	}
	switch alt, ok := map[string]int{"split": 30, "unsplit": 0}[extra]; {
	case ok: // two splits, one that holds to its affinity key, and a route that stays in region s
		parts := fmt.Sprintf(`,"weighted_backends":[{"backend_pool":"svc","weight":%d},{"backend_pool":"alt","weight":%d}]`, 100-alt, alt)
		rs = append(rs, route("r-w", "/w/", "idempotent", "svc", 2, parts), route("r-k", "/k/", "idempotent", "svc", 2, parts+`,"session_affinity":true`),
			route("r-h", "/h/", "idempotent", "svc", 2, `,"allowed_regions":["s"]`))
	case extra != "":
		rs = append(rs, route("r-"+extra, "/"+extra+"/", "idempotent", "svc", 2, ""))
	}
	b := fmt.Sprintf(`{"revision":%d,"route_table":[%s%s],"backend_pools":[{"name":"svc","health_check_path":"/health","max_connections":100},{"name":"few","health_check_path":"/health","max_connections":2},{"name":"alt","health_check_path":"/health","max_connections":100},{"name":"lm","health_check_path":"/health","max_connections":100,"warmup_s":3,"warmup_per_s":20,"engine":{"slots":8,"kv_capacity_tokens":100000,"kv_token_bytes":1000,"link_mbps":1000,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":8192,"max_body_bytes":65536,"header_timeout_ms":1000,"idle_timeout_ms":5000}}`,
		rev, strings.Join(rs, ","), second)
	if flaw == "cut_short" {
		return b[:len(b)-10]
	}
	return b
}

// Script runs one scenario file. It stops at the first line that does not hold.
type Script struct {
	w    *World
	bg   sync.WaitGroup
	mu   sync.Mutex
	good int
	bad  map[int]int
}

// RunFile runs the scenario in a file; the caller has made a bubble of simulated time.
func RunFile(w *World, file string) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	s := &Script{w: w, bad: map[int]int{}}
	defer func() {
		s.bg.Wait()
		w.End()
		time.Sleep(10 * time.Second) // what was killed ends in its own time
	}()
	for i, line := range strings.Split(string(b), "\n") {
		line, _, _ = strings.Cut(line, "#")
		f := strings.Fields(line)
		if len(f) == 0 {
			continue
		}
		if err := s.line(f[0], f[1:]); err != nil {
			return fmt.Errorf("%s:%d: %s: %w", file, i+1, strings.Join(f, " "), err)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.broken) > 0 {
		return fmt.Errorf("%s: broken rules: %s", file, strings.Join(w.broken[:min(5, len(w.broken))], "; "))
	}
	return nil
}

type args struct {
	pos []string
	kv  map[string]string
}

func parse(f []string) args {
	a := args{kv: map[string]string{}}
	for _, x := range f {
		if k, v, ok := strings.Cut(x, "="); ok {
			a.kv[k] = v
		} else {
			a.pos = append(a.pos, x)
		}
	}
	return a
}

func (a args) num(k string, def int) int {
	if n, err := strconv.Atoi(a.kv[k]); err == nil {
		return n
	}
	return def
}

func (a args) span(k string, def time.Duration) time.Duration {
	if d, err := time.ParseDuration(a.kv[k]); err == nil {
		return d
	}
	return def
}

func (s *Script) line(cmd string, f []string) error {
	w, a := s.w, parse(f)
	arg := func(i int) string {
		if i < len(a.pos) {
			return a.pos[i]
		}
		return ""
	}
	switch cmd {
	case "fleet": // fleet houses=3 gates=2 zones=a,b,c losses=1 down=h4: houses lie in the zones by turns, the first three are the seeds; the losses are those to be borne; some don't come up
		if z := a.kv["zones"]; z != "" {
			w.zones = strings.Split(z, ",")
		}
		w.losses = a.num("losses", 1)
		zones := w.zones
		var hs, gs []string
		for i := range a.num("houses", 3) {
			n := fmt.Sprintf("h%d", i+1)
			w.Add(n, fmt.Sprintf("10.%d.0.1", i+1), zones[i%len(zones)])
			hs = append(hs, n)
		}
		for i := range a.num("gates", 2) {
			n := fmt.Sprintf("g%d", i+1)
			w.Add(n, fmt.Sprintf("10.%d.1.%d", i%len(zones)+1, i+1), zones[i%len(zones)])
			gs = append(gs, n)
		}
		w.Seeds(hs[:min(3, len(hs))]...)
		for _, n := range append(hs, gs...) {
			if strings.Contains(","+a.kv["down"]+",", ","+n+",") {
				continue
			}
			if err := w.Start(n); err != nil {
				return err
			}
		}
	case "long": // long work between nodes is on: handed to any neighbour that has room
		w.more = "long_work: {enabled: true, patient: 4, heavy: 1, always: true, other_zones: true}\n"
	case "page": // page g1 run_elsewhere min=3 max=9: a count of the state page's section on long work
		return s.page(arg(0), arg(1), a)
	case "replica": // replica r1 pool=svc zone=a cold=0 slots=8
		r := w.AddReplica(arg(0), a.kv["pool"], fmt.Sprintf("10.7.0.%d", len(w.replicas)+1), a.kv["zone"])
		w.mu.Lock()
		r.cold, r.slots = float64(a.num("cold", 0)), a.num("slots", 8)
		w.mu.Unlock()
	case "keys": // keys 20: as many affinity keys were split between services, each held to one
		w.mu.Lock()
		defer w.mu.Unlock()
		both := map[string]bool{}
		for _, pool := range w.keys {
			both[pool] = true
		}
		if len(w.keys) != mustInt(arg(0)) || len(both) != 2 {
			return fmt.Errorf("%v", w.keys)
		}
	case "state": // state r1 draining|gone|ready
		w.SetState(arg(0), arg(1))
	case "reuse": // reuse r1 r9: another replica answers at r1's address
		w.mu.Lock()
		w.replicas[arg(0)].ID = arg(1)
		w.mu.Unlock()
	case "does": // does r1,r2 ok|full|cut|... work=20ms only=/n/ part=45 from=g1: a part in a hundred, or one caller's only
		for _, id := range strings.Split(arg(0), ",") {
			r := w.replicas[id]
			r.mu.Lock()
			r.how, r.work, r.only, r.part, r.from = arg(1), a.span("work", r.work), a.kv["only"], a.num("part", 100), ""
			if p := w.procs[a.kv["from"]]; p != nil {
				r.from = p.ip
			}
			r.mu.Unlock()
		}
	case "health": // health r1 ill|well: what its health answer says, whatever it does
		w.replicas[arg(0)].ill = arg(1) == "ill"
	case "cold": // cold m3 0: what the list says of how long it stays cold
		w.mu.Lock()
		w.replicas[arg(0)].cold = float64(mustInt(arg(1)))
		w.mu.Unlock()
	case "flap": // flap r1 gap=700ms for=5s: it goes down and up by turns
		r, end := w.replicas[arg(0)], time.Now().Add(a.span("for", time.Second))
		s.bg.Add(1)
		go func() {
			defer s.bg.Done()
			for time.Now().Before(end) {
				r.Down()
				time.Sleep(a.span("gap", time.Second) / 2)
				r.Up()
				time.Sleep(a.span("gap", time.Second) / 2)
			}
		}()
	case "forgets": // forgets r1 2s: it forgets connections idle longer, without a word; 0s ends that
		d, err := time.ParseDuration(arg(1))
		if err != nil {
			return err
		}
		w.Net.Forget(w.replicas[arg(0)].ip, d)
	case "suspected": // suspected r1 at=g1,g6 within=2s: these gates hold it under suspicion; no=1: they don't
		end := time.Now().Add(a.span("within", time.Second))
		for _, n := range strings.Split(a.kv["at"], ",") {
			for w.procs[n].gate.Health()[arg(0)].Suspected == (a.kv["no"] != "") {
				if time.Now().After(end) {
					return fmt.Errorf("%s holds %v", n, w.procs[n].gate.Health())
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	case "resets": // resets r1 each=2: every so manieth connection to it is reset
		w.Net.Reset(w.replicas[arg(0)].ip, a.num("each", 2))
	case "blackout": // blackout r1: its machine goes dark
		w.Net.Kill(w.replicas[arg(0)].ip, true)
	case "platform": // platform down|empty|up
		w.mu.Lock()
		w.listDown, w.listEmpty = arg(0) == "down", arg(0) == "empty"
		w.mu.Unlock()
	case "wait":
		d, err := time.ParseDuration(arg(0))
		if err != nil {
			return err
		}
		time.Sleep(d)
	case "cut": // cut h1 h2,h3 oneway=true
		for _, x := range strings.Split(arg(1), ",") {
			w.Net.Cut(w.procs[arg(0)].ip, w.procs[x].ip)
			if a.kv["oneway"] == "" {
				w.Net.Cut(w.procs[x].ip, w.procs[arg(0)].ip)
			}
		}
	case "heal":
		w.Net.Heal()
	case "kill", "power", "wipe":
		for _, n := range a.pos {
			w.Kill(n, cmd == "power")
			if cmd == "wipe" {
				w.Wipe(n)
			}
		}
	case "slow": // slow g1 x=5: its machine runs so many times slower; x=1 ends it
		for _, n := range a.pos {
			w.procs[n].slow.Store(int64(a.num("x", 5)))
		}
	case "ready": // ready g1 g2 are=no within=3s: all of them come to answer so
		want := a.kv["are"] != "no"
		for _, n := range a.pos {
			for end := time.Now().Add(a.span("within", 0)); w.Ready(n) != want; time.Sleep(100 * time.Millisecond) {
				if time.Now().After(end) {
					return fmt.Errorf("%s does not", n)
				}
			}
		}
	case "shares": // shares 6 g1 g2 within=4s: by these routers the shares are made for so many
		for _, n := range a.pos[1:] {
			for end := time.Now().Add(a.span("within", 0)); w.Shares(n) != mustInt(arg(0)); time.Sleep(100 * time.Millisecond) {
				if time.Now().After(end) {
					return fmt.Errorf("%s says %d", n, w.Shares(n))
				}
			}
		}
	case "leave":
		w.Leave(arg(0))
	case "start":
		for _, n := range a.pos {
			if err := w.Start(n); err != nil {
				return err
			}
		}
	case "add": // add h4 zone=a disk=no: a new machine at a new address, told of the living seeds
		w.Add(arg(0), fmt.Sprintf("10.5.0.%d", len(w.procs)+1), a.kv["zone"])
		w.procs[arg(0)].first, w.procs[arg(0)].relay = false, a.kv["disk"] == "no"
	case "seeds":
		w.Seeds(a.pos...)
	case "disk": // disk h1 ok|full|stall|slow
		w.procs[arg(0)].disk.Fault(arg(1))
	case "put": // put 5 base=0 expect=200 extra=x flaw=y at=h1
		return s.order("PUT", "/v1/config", a.kv["base"], setupOf(a.num("rev", mustInt(arg(0))), a.kv["extra"], a.kv["flaw"]), a)
	case "patch": // patch 7 base=5 add=name remove=name expect=200
		up, rm := "", ""
		if n := a.kv["add"]; n != "" {
			up = fmt.Sprintf(`,"upsert":{"route_table":[{"name":"r-%s","hostname":"h.example","path_prefix":"/%s/","route_type":"idempotent","timeout_ms":3000,"target_latency_ms":400,"backend_pool":"svc","max_attempts":2}]}`, n, n)
		}
		if n := a.kv["remove"]; n != "" {
			rm = fmt.Sprintf(`,"remove":{"route_table":["r-%s"]}`, n)
		}
		return s.order("PATCH", "/v1/config", a.kv["base"], fmt.Sprintf(`{"revision":%s%s%s}`, arg(0), up, rm), a)
	case "pester": // pester at=h1 for=6s: orders on a stale base, several a second, at one node
		end := time.Now().Add(a.span("for", time.Second))
		for i := range 4 {
			s.bg.Add(1)
			go func() {
				defer s.bg.Done()
				for n := 0; time.Now().Before(end); n++ {
					_, _ = w.Order(a.kv["at"], "PUT", "/v1/config", "5", setupOf(1000+10*n+i, "", ""))
					time.Sleep(100 * time.Millisecond)
				}
			}()
		}
	case "evacuate", "return": // evacuate a expect=200
		m := map[string]string{"evacuate": "POST", "return": "DELETE"}[cmd]
		err := s.order(m, "/v1/evacuation/"+arg(0), "", "", a)
		w.mu.Lock()
		for _, r := range w.replicas {
			if r.zone == arg(0) {
				r.evacAt = time.Time{}
				if cmd == "evacuate" {
					r.evacAt = time.Now()
				}
			}
		}
		w.mu.Unlock()
		return err
	case "race": // race 7 9 base=5: two orders on one base, exactly one is taken
		got := make([]int, 2)
		var wg sync.WaitGroup
		for i := range 2 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				got[i] = w.Insist(4*time.Second, "PUT", "/v1/config", a.kv["base"], setupOf(mustInt(arg(i)), fmt.Sprintf("w%d", i), ""))
			}()
		}
		wg.Wait()
		if got[0]+got[1] != 200+412 {
			return fmt.Errorf("answers %v", got)
		}
	case "read": // read 5 at=h1: the newest configuration as it was sent
		return s.read(arg(0), a)
	case "load": // load gate=g1 path=/i/x rate=50 for=2s once=true keys=20
		n, gap := int(a.span("for", time.Second)/time.Second)*a.num("rate", 50), time.Second/time.Duration(a.num("rate", 50))
		s.bg.Add(1)
		go func() {
			defer s.bg.Done()
			var wg sync.WaitGroup
			for i := range n {
				g := strings.Split(a.kv["gate"], ",")
				wg.Add(1)
				go func() {
					defer wg.Done()
					s.note(w.Ask(g[i%len(g)], a.kv["path"], prefixOf(a, i), a.kv["once"] != "", a.num("body", 0)))
				}()
				time.Sleep(gap)
			}
			wg.Wait()
		}()
	case "ask": // ask gate=g1 path=/i/x expect=200 within=500ms n=3
		for i := range a.num("n", 1) {
			o := w.Ask(a.kv["gate"], a.kv["path"], prefixOf(a, i), a.kv["once"] != "", a.num("body", 0))
			if e := a.kv["expect"]; e != "" && !strings.Contains(","+e+",", fmt.Sprintf(",%d,", o.Status)) {
				return fmt.Errorf("%s got %d after %v: %.80s", o.ID, o.Status, o.Took, o.Body)
			}
			if d := a.span("within", 0); d > 0 && o.Took > d {
				return fmt.Errorf("%s took %v", o.ID, o.Took)
			}
		}
	case "served": // served 95: at least so many in a hundred of the load were served
		s.bg.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()
		all := s.good
		for _, n := range s.bad {
			all += n
		}
		if all == 0 || s.good*100 < all*mustInt(arg(0)) {
			return fmt.Errorf("%d of %d served, others %v", s.good, all, s.bad)
		}
		s.good, s.bad = 0, map[int]int{}
	case "got": // got r1 min=3 max=9: inquiries that a replica ran
		r := w.replicas[arg(0)]
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.got < a.num("min", 0) || r.got > a.num("max", 1<<30) {
			return fmt.Errorf("it ran %d", r.got)
		}
		r.got = 0
	case "chart": // chart copies=3 witnesses=5 none=h7 within=3s: what the primary's chart holds; none names a house that must not be in it
		return s.chart(a)
	case "primary": // primary not=h1 within=3s: exactly one member is primary
		return s.primary(a)
	case "calls": // calls max=20: the platform was asked so often since the last time
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.calls > a.num("max", 1<<30) || w.calls < a.num("min", 0) {
			return fmt.Errorf("%d calls", w.calls)
		}
		w.calls = 0
	default:
		return fmt.Errorf("unknown line")
	}
	return nil
}

func prefixOf(a args, i int) string {
	if a.kv["prefix"] == "" && a.kv["keys"] == "" {
		return ""
	}
	if n := a.num("keys", 0); n > 0 {
		return fmt.Sprintf("%x:64,%x:64", i%n+1, 0xf000+i)
	}
	return strings.ReplaceAll(a.kv["prefix"], ";", ",") + fmt.Sprintf(",%x:64", 0xf000+i)
}

func mustInt(x string) int {
	n, _ := strconv.Atoi(x)
	return n
}

func (s *Script) note(o Outcome) {
	s.mu.Lock()
	if o.Status == 200 {
		s.good++
	} else {
		s.bad[o.Status]++
	}
	s.mu.Unlock()
}

func (s *Script) order(method, path, base, body string, a args) error {
	var got int
	if at := a.kv["at"]; strings.Contains(at, ",") { // in turn, until one answers clearly
		for end := time.Now().Add(4 * time.Second); time.Now().Before(end) && (got == 0 || got >= 500); time.Sleep(50 * time.Millisecond) {
			for _, n := range strings.Split(at, ",") {
				if got, _ = s.w.Order(n, method, path, base, body); got != 0 && got < 500 {
					break
				}
			}
		}
	} else if at != "" {
		got, _ = s.w.Order(at, method, path, base, body)
	} else {
		got = s.w.Insist(a.span("within", 4*time.Second), method, path, base, body)
	}
	if e := a.kv["expect"]; e != "" && !strings.Contains(","+e+",", fmt.Sprintf(",%d,", got)) {
		return fmt.Errorf("answer %d", got)
	}
	return nil
}

func (s *Script) read(want string, a args) error {
	end := time.Now().Add(a.span("within", 4*time.Second))
	for {
		for n := range s.w.procs {
			if n[0] != 'h' || a.kv["at"] != "" && n != a.kv["at"] {
				continue
			}
			st, b := s.w.Order(n, "GET", "/v1/config", "", "")
			if st != 200 {
				continue
			}
			if !strings.HasPrefix(b, `{"revision":`+want+",") || !strings.Contains(b, `"x_unknown":{"kept":[1,2.50]}`) {
				return fmt.Errorf("read back %.60s", b)
			}
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("nothing was read back")
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (s *Script) chart(a args) error {
	end := time.Now().Add(a.span("within", 3*time.Second))
	for {
		why := "nobody is primary"
		for _, p := range s.w.procs {
			if p.house == nil || p.life.dead.Load() || !p.house.Acting() {
				continue
			}
			c := p.house.View()
			all := append(c.Copies(), c.Witnesses...)
			bad := a.kv["none"] != "" && slices.ContainsFunc(all, func(x core.Member) bool { return strings.HasPrefix(x.Address, s.w.procs[a.kv["none"]].ip+":") })
			if !bad && len(c.Copies()) == a.num("copies", len(c.Copies())) && len(c.Witnesses) == a.num("witnesses", len(c.Witnesses)) {
				return nil
			}
			why = fmt.Sprintf("%d copies, %d witnesses", len(c.Copies()), len(c.Witnesses))
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s", why)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (s *Script) page(node, name string, a args) error {
	r, err := s.w.client("10.8.0.2").Get("http://" + s.w.procs[node].ip + ":7003/")
	if err != nil {
		return err
	}
	defer r.Body.Close()
	var p struct {
		Long map[string]any `json:"long_work"`
	}
	if err := json.NewDecoder(r.Body).Decode(&p); err != nil {
		return err
	}
	if n, ok := p.Long[name].(float64); !ok || int(n) < a.num("min", 0) || int(n) > a.num("max", 1<<30) {
		return fmt.Errorf("%s is %v", name, p.Long[name])
	}
	return nil
}

func (s *Script) primary(a args) error {
	end := time.Now().Add(a.span("within", 3*time.Second))
	for {
		var on []string
		for n, p := range s.w.procs {
			if p.house != nil && !p.life.dead.Load() && p.house.Acting() {
				on = append(on, n)
			}
		}
		if len(on) == 1 && on[0] != a.kv["not"] && (a.kv["is"] == "" || a.kv["is"] == on[0]) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("primaries %v", on)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
