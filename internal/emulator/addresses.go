package emulator

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"strconv"

	"shaletrestle/internal/errkind"
)

// Bounds of the addresses of an experiment.
const (
	portsPerMachine = 8    // ports that every emulated machine needs: six are used
	addressAttempts = 64   // attempts to find free addresses
	maxMachines     = 4000 // emulated machines at most
)

// Offsets of the ports of an emulated machine; the first four are
// internal_port_range.
const (
	portFront = 4 + iota
	portReadiness
	portControl
	portReplica
)

// The range in which a first port is looked for.
const (
	lowestPort = 18000
	portBlocks = 1500 // of portsPerMachine ports each
)

// addressPool gives out emulated machines: loopback addresses with a few ports
// each.
type addressPool struct {
	first uint32 // address of the first machine
	port  int    // first port of every machine
	used  uint32
	zones map[string]string // by address
}

// newAddressPool uses the addresses that an experiment names, or finds some whose
// first machine's ports are free.
func newAddressPool(address string, port int) (*addressPool, error) {
	pool := &addressPool{port: port, zones: map[string]string{}}
	for range addressAttempts {
		pool.first = firstAddress(address)
		if port == 0 {
			pool.port = lowestPort + portsPerMachine*rand.IntN(portBlocks)
		}
		err := pool.checkFree()
		if err == nil {
			return pool, nil
		}
		if address != "" && port != 0 {
			return nil, err
		}
	}
	return nil, errkind.New(errkind.InvalidSettings, "experiment: no free loopback address was found")
}

// firstAddress is the given address, or a random one of 127.16.0.1 to
// 127.215.239.1.
func firstAddress(address string) uint32 {
	if ip := net.ParseIP(address).To4(); ip != nil {
		return binary.BigEndian.Uint32(ip)
	}
	second := uint32(16 + rand.IntN(200))
	third := uint32(rand.IntN(240))
	return 127<<24 | second<<16 | third<<8 | 1
}

// checkFree reports whether the first machine's ports can be bound.
func (p *addressPool) checkFree() error {
	for offset := range portsPerMachine {
		listener, err := listen(p.address(p.ip(0), offset))
		if err != nil {
			return err
		}
		_ = listener.Close()
	}
	return nil
}

// ip is the address of the n-th machine.
func (p *addressPool) ip(n uint32) string {
	var octets [4]byte
	binary.BigEndian.PutUint32(octets[:], p.first+n)
	return net.IP(octets[:]).String()
}

// machine gives the address of a new machine in a zone.
func (p *addressPool) machine(zone string) (string, error) {
	if p.used >= maxMachines {
		return "", errkind.New(errkind.InvalidSettings, "experiment: too many machines")
	}
	ip := p.ip(p.used)
	p.used++
	p.zones[ip] = zone
	return ip, nil
}

// zoneOf is the zone of a machine.
func (p *addressPool) zoneOf(ip string) string { return p.zones[ip] }

// address is a machine's port as host:port.
func (p *addressPool) address(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(p.port+offset))
}

// listen binds an address; one that is taken is an error of the experiment.
func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errkind.New(errkind.InvalidSettings, "address %s is taken or can't be used: %v", address, err)
	}
	return listener, nil
}
