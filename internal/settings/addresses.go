package settings

import (
	"net"
	"strconv"
	"time"

	"shaletrestle/internal/durations"
)

// Offsets of own ports into internal_port_range.
const (
	// ControlPortOffset is where a controller takes messages of other processes.
	ControlPortOffset = 0
	// ControlStatePortOffset is the controller's state page.
	ControlStatePortOffset = 1
	// RouterPortOffset is where a router takes messages of other routers.
	RouterPortOffset = 2
	// RouterStatePortOffset is the router's state page.
	RouterStatePortOffset = 3
)

// Limits of this project's HTTP servers; the configuration may set others for clients.
const (
	// HeaderTimeout bounds the reading of a header.
	HeaderTimeout = 3 * time.Second
	// IdleTimeout ends an idle connection.
	IdleTimeout = 15 * time.Second
	// HeaderBytes bounds a header.
	HeaderBytes = 16 << 10
)

// GraceMargin is how long before the end of its grace a process that shuts down ends.
const GraceMargin = 700 * time.Millisecond

// Port gives the address of one of the process's own ports, by its offset into the range.
func (s *Settings) Port(offset int) string {
	return net.JoinHostPort(s.IP, strconv.Itoa(s.Ports[0]+offset))
}

// memberAddress turns a control address into the address for messages to the controller of the same machine; empty if
// it can't be read.
func (s *Settings) memberAddress(control string) string {
	host, _, err := net.SplitHostPort(control)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(s.Ports[0]+ControlPortOffset))
}

// ControlAddress turns the address for messages to a controller into the control address of the same machine; empty if
// it can't be read.
func (s *Settings) ControlAddress(member string) string {
	host, _, err := net.SplitHostPort(member)
	if err != nil {
		return ""
	}
	_, port, err := net.SplitHostPort(s.Bind.Control)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}

// SeedMembers lists the seeds' addresses for messages; seeds that can't be read are left out.
func (s *Settings) SeedMembers() []string {
	var addresses []string
	for _, seed := range s.Seeds {
		if address := s.memberAddress(seed); address != "" {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// ContactTimeout is the bound contact_ms as a duration.
func (s *Settings) ContactTimeout() time.Duration {
	return durations.FromMilliseconds(s.Bounds.ContactMs)
}
