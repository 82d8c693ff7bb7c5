package simulation

import "slices"

// shrink cuts the plan of a failing schedule down: a fault without which the schedule still fails is left out.
func (s schedule) shrink(found outcome) (schedule, outcome) {
	s.Plan = found.plan
	for again := true; again; {
		again = false
		for i := len(s.Plan) - 1; i >= 0; i-- {
			shorter := s
			shorter.Plan = slices.Delete(slices.Clone(s.Plan), i, i+1)
			if shorter.Plan == nil {
				shorter.Plan = plan{}
			}
			if result := shorter.run(false); result.violation != "" {
				s, found, again = shorter, result, true
			}
		}
	}
	return s, found
}
