package router

import "shaletrestle/internal/routing"

// runSteps runs the steps of the request's route, in order, until one of them has answered it.
func (req *request) runSteps() {
	for _, step := range req.route.Steps {
		if !req.runStep(step) {
			return
		}
	}
}

// runStep runs one step; false if the request is answered.
func (req *request) runStep(step routing.Step) bool {
	switch step {
	case routing.ReadBody:
		return req.readBody()
	case routing.SetDeadline:
		req.setDeadline()
		return true
	case routing.ChooseService:
		return req.chooseService()
	case routing.RestrictRegions:
		req.wanted.AllowsZone = func(zone string) bool {
			return req.route.AllowedRegions[req.router.settings.Load().Zones[zone]]
		}
		return true
	case routing.RelayComplete, routing.RelayEvents:
		req.send()
	}
	return false
}
