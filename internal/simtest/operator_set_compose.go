package simtest

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
)

// order is the change as it is sent.
func (s sentOrder) order() order {
	return order{s.method, configPath, fmt.Sprint(s.base), s.body}
}

// revision is the version that the change leads to.
func (s sentOrder) revision() int {
	var read struct {
		Revision int `json:"revision"`
	}
	_ = json.Unmarshal([]byte(s.body), &read)
	return read.Revision
}

// markedRoute is the route by which a version tells which change made it.
const markedRoute = `{"name":"r-op","hostname":"h.example","path_prefix":"/op/","route_type":"idempotent","timeout_ms":3000,"target_latency_ms":400,"backend_pool":"svc","max_attempts":2,"x_mark":%q}`

// compose makes a change on the newest version known, at times on one that is old, with the same content as
// another's, or with the same number as another's. The caller holds the lock.
func (o *operatorSet) compose(r *rand.Rand) sentOrder {
	base := o.newest
	if r.IntN(8) == 0 {
		base = max(1, base-1-r.IntN(3))
	}
	mark := fmt.Sprint("m", o.marks)
	if r.IntN(8) != 0 || o.marks == 0 {
		mark = o.newMark()
	}
	method, revision := "PATCH", base+1+r.IntN(2)
	if r.IntN(4) == 0 {
		method = "PUT"
	}
	order := orderOf(method, base, revision, mark)
	if old, known := o.orders[mark]; known && old != order { // its mark is another order's
		mark = o.newMark()
		order = orderOf(method, base, revision, mark)
	}
	o.orders[mark] = order
	return order
}

// newMark gives a mark that no change has.
func (o *operatorSet) newMark() string {
	o.marks++
	return fmt.Sprint("m", o.marks)
}

// orderOf makes a change that its mark tells from all others.
func orderOf(method string, base, revision int, mark string) sentOrder {
	route := fmt.Sprintf(markedRoute, mark)
	if method == "PUT" {
		complete := strings.Replace(configurationAt(revision, "", ""), `"route_table":[`, `"route_table":[`+route+",", 1)
		return sentOrder{method, base, complete}
	}
	return sentOrder{method, base, fmt.Sprintf(`{"revision":%d,"upsert":{"route_table":[%s]}}`, revision, route)}
}
