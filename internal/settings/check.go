package settings

import (
	"errors"
	"fmt"
	"math"
	"net"
	"reflect"
	"strconv"

	"shaletrestle/internal/placement"
)

// maxPort is the highest port number.
const maxPort = 65535

// check rejects settings with which a program can't run.
func (s *Settings) check(roles Roles) error {
	checks := []func() error{
		s.checkMachine,
		func() error { return s.checkControl(roles) },
		func() error { return s.checkAddresses(roles) },
		s.checkBounds,
		s.checkPlacement,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkPlacement checks the options of placement, whose ranges stand with them.
func (s *Settings) checkPlacement() error {
	err := s.Placement.Check()
	var option *placement.OptionError
	if errors.As(err, &option) {
		return invalid("placement."+option.Option, "must be "+option.Want)
	}
	return err
}

// field is a text field of the settings with its key.
type field struct {
	key   string
	value string
}

// checkMachine checks what every program needs: the machine, its ports and the seeds.
func (s *Settings) checkMachine() error {
	required := []field{
		{"node_name", s.NodeName},
		{"ip", s.IP},
		{"zone", s.Zone},
	}
	for _, field := range required {
		if field.value == "" {
			return invalid(field.key, "is missing")
		}
	}
	if net.ParseIP(s.IP) == nil {
		return invalid("ip", "is not an address: "+strconv.Quote(s.IP))
	}
	if !validPortRange(s.Ports) {
		return invalid("internal_port_range", fmt.Sprintf("must be the first and the last of at least %d ports", RouterStatePortOffset+1))
	}
	if len(s.Seeds) == 0 {
		return invalid("seed_nodes", "is missing")
	}
	if s.MetricsPort < 0 || s.MetricsPort > maxPort {
		return invalid("metrics_port", fmt.Sprintf("must be between 0 and %d", maxPort))
	}
	return nil
}

func validPortRange(ports []int) bool {
	if len(ports) != 2 {
		return false
	}
	first, last := ports[0], ports[1]
	return first >= 1 && last <= maxPort && last-first >= RouterStatePortOffset
}

// checkControl checks what only a controller needs.
func (s *Settings) checkControl(roles Roles) error {
	if !roles.Control {
		return nil
	}
	if s.QuorumMember && s.DataDir == "" {
		return invalid("data_dir", "is missing")
	}
	for _, losses := range []int{s.Tolerance.Machines, s.Tolerance.Zones, s.Tolerance.Regions} {
		if losses < 0 || losses > maxFailures {
			return invalid("fault_tolerance", fmt.Sprintf("must be between 0 and %d", maxFailures))
		}
	}
	return nil
}

// checkAddresses checks the addresses that a program of these roles uses.
func (s *Settings) checkAddresses(roles Roles) error {
	for _, address := range s.addresses(roles) {
		if address.value == "" {
			return invalid(address.key, "is missing")
		}
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			return invalid(address.key, "is not an address and port: "+strconv.Quote(address.value))
		}
	}
	return nil
}

func (s *Settings) addresses(roles Roles) []field {
	var addresses []field
	if roles.Frontend {
		addresses = append(addresses,
			field{"bind_addresses.front", s.Bind.Front},
			field{"bind_addresses.readiness", s.Bind.Readiness})
	}
	if roles.Control {
		addresses = append(addresses,
			field{"bind_addresses.control", s.Bind.Control},
			field{"cloud_api.address", s.Cloud.Address})
	}
	for i, seed := range s.Seeds {
		addresses = append(addresses, field{fmt.Sprintf("seed_nodes[%d]", i), seed})
	}
	return addresses
}

// checkBounds checks the numbers.
func (s *Settings) checkBounds() error {
	if s.Limits.MemoryMB <= 0 {
		return invalid("limits.memory_mb", "must be above 0")
	}
	if key := firstInvalid(s.Bounds); key != "" {
		return invalid("bounds."+key, "must be a number of 0 or more")
	}
	if key, want := s.LongWork.firstInvalid(); key != "" {
		return invalid("long_work."+key, "must be "+want)
	}
	if s.Bounds.ContactMs == 0 {
		return invalid("bounds.contact_ms", "is missing")
	}
	return nil
}

// firstInvalid gives the key of the first bound that is no number of 0 or more; empty if all are.
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
