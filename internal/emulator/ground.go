package emulator

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"strconv"

	"shaletrestle/internal/constants"
	"shaletrestle/internal/errkind"
)

// Offsets of the ports of an emulated machine; the first four are internal_port_range.
const (
	portFront = 4 + iota
	portReadiness
	portControl
	portReplica
)

// ground deals out emulated machines: loopback addresses with a few ports each.
type ground struct {
	first uint32
	port  int
	used  uint32
	zones map[string]string // by address
}

// newGround takes the addresses that an experiment names, or finds some whose first machine's ports are free.
func newGround(address string, port int) (*ground, error) {
	g := &ground{port: port, zones: map[string]string{}}
	for range constants.YardFind {
		if ip := net.ParseIP(address).To4(); ip != nil {
			g.first = binary.BigEndian.Uint32(ip)
		} else {
			g.first = 127<<24 | uint32(16+rand.IntN(200))<<16 | uint32(rand.IntN(240))<<8 | 1
		}
		if port == 0 {
			g.port = 18000 + constants.YardPorts*rand.IntN(1500)
		}
		err := g.free()
		if err == nil {
			return g, nil
		}
		if address != "" && port != 0 {
			return nil, err
		}
	}
	return nil, errkind.New(errkind.BadEnv, "experiment: no free loopback address was found")
}

func (g *ground) free() error {
	for i := range constants.YardPorts {
		ln, err := listen(g.at(g.ip(0), i))
		if err != nil {
			return err
		}
		_ = ln.Close()
	}
	return nil
}

func (g *ground) ip(n uint32) string {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], g.first+n)
	return net.IP(b[:]).String()
}

// machine gives the address of a new machine in a zone.
func (g *ground) machine(zone string) (string, error) {
	if g.used >= constants.YardHosts {
		return "", errkind.New(errkind.BadEnv, "experiment: too many machines")
	}
	ip := g.ip(g.used)
	g.used++
	g.zones[ip] = zone
	return ip, nil
}

func (g *ground) at(ip string, off int) string { return net.JoinHostPort(ip, strconv.Itoa(g.port+off)) }

// listen binds an address; one that is taken is an error of the experiment.
func listen(at string) (net.Listener, error) {
	ln, err := net.Listen("tcp4", at)
	if err != nil {
		return nil, errkind.New(errkind.BadEnv, "address %s is taken or can't be used: %v", at, err)
	}
	return ln, nil
}
