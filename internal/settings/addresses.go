package settings

import (
	"net"
	"strconv"
	"time"

	"shaletrestle/internal/durations"
)

// Port gives the address of one of our own ports, by its offset in the range.
func (e *Settings) Port(offset int) string {
	return net.JoinHostPort(e.IP, strconv.Itoa(e.Ports[0]+offset))
}

// rpcAddress turns a control address into the address for messages between own
// processes on the same machine; empty if it can't be read.
func (e *Settings) rpcAddress(control string) string {
	host, _, err := net.SplitHostPort(control)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(e.Ports[0]+ControlPort))
}

// ControlAddr turns an address for messages between own processes into the
// control address of the same machine; empty if it can't be read.
func (e *Settings) ControlAddress(rpcAddress string) string {
	host, _, err := net.SplitHostPort(rpcAddress)
	if err != nil {
		return ""
	}
	_, port, err := net.SplitHostPort(e.Bind.Control)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}

// SeedMembers lists the seeds' addresses for messages between own processes.
func (e *Settings) SeedMembers() []string {
	var addresses []string
	for _, seed := range e.Seeds {
		if address := e.rpcAddress(seed); address != "" {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Contact is the bound contact_ms.
func (e *Settings) ContactTimeout() time.Duration {
	return durations.FromMilliseconds(e.Bounds.ContactMs)
}
