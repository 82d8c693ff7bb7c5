package emulator

import (
	"context"
	"log/slog"
)

// baseSize is the fleet that a series grows one quantity of.
var baseSize = fleetSize{
	Nodes:       60,
	Controllers: 3,
	Replicas:    200,
	Models:      26,
	Routes:      100,
	Tenants:     50,
}

// targetSize is the size that the fleet is to grow to. The routes are two for each
// tenant; their number is not known.
var targetSize = fleetSize{
	Nodes:       390,
	Controllers: 15,
	Replicas:    1500,
	Models:      26,
	Routes:      500,
	Tenants:     250,
	Changes:     6.1,
	Churn:       30,
}

// seriesSpec is one series: what it grows and over which sizes. Exactly one of the
// functions is given.
type seriesSpec struct {
	name      string
	grows     string
	at        []float64
	set       func(size *fleetSize, x float64) // sets the size of a fleet
	component func(x float64) values           // measures a component; no fleet is needed
	custom    func(context.Context, *slog.Logger, newCell, Output) ([]Point, error)
}

var allSeries = []seriesSpec{
	{
		name:  "nodes",
		grows: "routers",
		at:    []float64{30, 90, 180, 270, 390},
		set:   func(size *fleetSize, x float64) { size.Nodes = int(x) },
	},
	{
		name:  "replicas",
		grows: "replicas on the list",
		at:    []float64{100, 400, 800, 1500},
		set:   func(size *fleetSize, x float64) { size.Replicas = int(x) },
	},
	{
		name:  "routes",
		grows: "routes",
		at:    []float64{50, 150, 300, 600},
		set:   func(size *fleetSize, x float64) { size.Routes = int(x) },
	},
	{
		name:  "tenants",
		grows: "hosts that 500 routes are spread over",
		at:    []float64{10, 60, 120, 250},
		set: func(size *fleetSize, x float64) {
			size.Routes = 500
			size.Tenants = int(x)
		},
	},
	{
		name:  "changes",
		grows: "configuration changes a minute",
		at:    []float64{0, 30, 60, 120, 240},
		set:   func(size *fleetSize, x float64) { size.Changes = x },
	},
	{
		name:  "churn",
		grows: "replica changes a minute",
		at:    []float64{0, 60, 300, 900},
		set:   func(size *fleetSize, x float64) { size.Churn = x },
	},
	{
		name:  "houses",
		grows: "controllers and zones",
		at:    []float64{3, 5, 9, 15},
		set:   func(size *fleetSize, x float64) { size.Controllers = int(x) },
	},
	{
		name:  "delay",
		grows: "ms one way between zones",
		at:    []float64{0, 10, 25, 50, 75},
		set:   func(size *fleetSize, x float64) { size.DelayMs = x },
	},
	{
		name:      "prefixes",
		grows:     "runs in one index",
		at:        []float64{20000, 50000, 100000, 200000},
		component: measurePrefixes,
	},
	{
		name:      "owners",
		grows:     "routes that share one index and one table of shares",
		at:        []float64{10, 60, 120, 250},
		component: measureOwners,
	},
	{
		name:      "sessions",
		grows:     "sessions that send one request each",
		at:        []float64{20000, 50000, 100000, 200000},
		component: measureSessions,
	},
	{
		name:      "placing",
		grows:     "replicas of one service",
		at:        []float64{10, 58, 200, 600, 1500},
		component: measurePlacing,
	},
	{
		name:      "folding",
		grows:     "routes in one node's state",
		at:        []float64{50, 150, 500, 1000, 2000},
		component: measureFolding,
	},
	{
		name:      "listing",
		grows:     "replicas in one node's state",
		at:        []float64{100, 400, 800, 1500},
		component: measureListing,
	},
	{
		name:   "aim",
		grows:  "nothing: the size to come, measured with its recovery",
		custom: measureTarget,
	},
	{
		name:   "five",
		grows:  "nothing: the size to come with five controllers for its 15 zones",
		custom: measureFiveControllers,
	},
}
