package settings

import (
	"fmt"
	"math"
	"net"
	"reflect"
	"strconv"

	"shaletrestle/internal/errkind"
)

// maxPort is the highest port number.
const maxPort = 65535

// badField is the error of a field of the settings.
func badField(field, why string) error {
	return errkind.New(errkind.InvalidSettings, "settings: %s %s", field, why)
}

// check refuses settings with which a program can't run, and sets defaults.
func (e *Settings) check(need Need) error {
	checks := []func() error{
		e.checkMachine,
		func() error { return e.checkControl(need) },
		func() error { return e.checkAddresses(need) },
		e.checkBounds,
		e.checkPlacement,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkPlacement checks the options of placement, whose ranges stand with them.
func (e *Settings) checkPlacement() error {
	return errkind.Wrap(errkind.InvalidSettings, e.Placement.Check(), "settings")
}

// field is a text field of the settings with its name.
type field struct {
	name  string
	value string
}

// checkMachine checks what tells of the machine and of its place in the fleet.
func (e *Settings) checkMachine() error {
	required := []field{
		{"node_name", e.NodeName},
		{"ip", e.IP},
		{"zone", e.Zone},
	}
	for _, field := range required {
		if field.value == "" {
			return badField(field.name, "is missing")
		}
	}
	if net.ParseIP(e.IP) == nil {
		return badField("ip", "is not an address: "+strconv.Quote(e.IP))
	}
	if !validPortRange(e.Ports) {
		return badField("internal_port_range", "needs two ports at least four apart")
	}
	if len(e.Seeds) == 0 {
		return badField("seed_nodes", "is missing")
	}
	return nil
}

func validPortRange(ports []int) bool {
	if len(ports) != 2 {
		return false
	}
	first, last := ports[0], ports[1]
	return first >= 1 && last <= maxPort && last-first >= RouterStatePort
}

// checkControl checks what only a controller needs.
func (e *Settings) checkControl(need Need) error {
	if !need.Control {
		return nil
	}
	if e.Quorum && e.DataDir == "" {
		return badField("data_dir", "is missing")
	}
	for _, losses := range []int{e.Tolerance.Machines, e.Tolerance.Zones, e.Tolerance.Regions} {
		if losses < 0 || losses > maxLosses {
			return badField("fault_tolerance", fmt.Sprintf("must be between 0 and %d", maxLosses))
		}
	}
	return nil
}

// checkAddresses checks the addresses that a program of these roles uses.
func (e *Settings) checkAddresses(need Need) error {
	for _, address := range e.addresses(need) {
		if address.value == "" {
			return badField(address.name, "is missing")
		}
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			return badField(address.name, "is not an address and port: "+strconv.Quote(address.value))
		}
	}
	return nil
}

func (e *Settings) addresses(need Need) []field {
	var addresses []field
	if need.Front {
		addresses = append(addresses,
			field{"bind_addresses.front", e.Bind.Front},
			field{"bind_addresses.readiness", e.Bind.Readiness})
	}
	if need.Control {
		addresses = append(addresses,
			field{"bind_addresses.control", e.Bind.Control},
			field{"cloud_api.address", e.Cloud.Address})
	}
	for i, seed := range e.Seeds {
		addresses = append(addresses, field{fmt.Sprintf("seed_nodes[%d]", i), seed})
	}
	return addresses
}

// checkBounds checks the numbers.
func (e *Settings) checkBounds() error {
	if e.Limits.MemoryMB <= 0 {
		return badField("limits.memory_mb", "must be above 0")
	}
	if name := firstInvalid(e.Bounds); name != "" {
		return badField("bounds."+name, "must be a number of 0 or more")
	}
	if name := e.LongWork.check(); name != "" {
		return badField("long_work."+name, "is out of bounds")
	}
	if e.Bounds.ContactMs == 0 {
		return badField("bounds.contact_ms", "is missing")
	}
	return nil
}

// firstInvalid names the first bound that is no number of 0 or more; empty if
// all are.
func firstInvalid(bounds Bounds) string {
	fields := reflect.ValueOf(bounds)
	for i := range fields.NumField() {
		if !validNumber(fields.Field(i).Float()) {
			return fields.Type().Field(i).Tag.Get("yaml")
		}
	}
	return ""
}

func validNumber(number float64) bool {
	return number >= 0 && !math.IsInf(number, 1)
}

// check sets defaults and names the first field that is out of bounds; empty if
// none is.
func (l *LongWork) check() string {
	if !validNumber(l.PatientTargets) {
		return "patient"
	}
	if l.PatientTargets == 0 {
		l.PatientTargets = longPatient
	}
	if !validNumber(l.HeavyTargets) {
		return "heavy"
	}
	if l.HeavyTargets == 0 {
		l.HeavyTargets = longHeavy
	}
	if l.MaxAcceptedJobs < 0 || l.MaxAcceptedJobs > AcceptedJobsLimit {
		return "takes"
	}
	if l.MaxAcceptedJobs == 0 {
		l.MaxAcceptedJobs = longTakes
	}
	return ""
}
