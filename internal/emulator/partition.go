package emulator

import (
	"context"
	"net"
	"sync"

	"shaletrestle/coord/wait"
	"shaletrestle/internal/durations"
)

// PartitionSpec cuts the daemons of one zone off from those of all others. Clients, replicas and the platform reach both
// sides.
type PartitionSpec struct {
	Zone string  `yaml:"zone" json:"Zone"`
	AtS  float64 `yaml:"at_s" json:"AtS"`
	ForS float64 `yaml:"for_s" json:"ForS"`
}

// partition is the partition in force, and the connections that it may end. It is safe for concurrent use.
type partition struct {
	mu          sync.Mutex
	zone        string                         // cut off; empty: none is
	connections map[*partitionedConn]zonesPair // open
}

// zonesPair are the zones of a connection's ends.
type zonesPair struct{ from, to string }

func newPartition() *partition {
	return &partition{connections: map[*partitionedConn]zonesPair{}}
}

// separates reports whether nothing passes between two zones.
func (p *partition) separates(a, b string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.separatesLocked(zonesPair{a, b})
}

func (p *partition) separatesLocked(pair zonesPair) bool {
	return p.zone != "" && (pair.from == p.zone) != (pair.to == p.zone)
}

// begin cuts a zone off: what is open to others ends, and no dial succeeds.
func (p *partition) begin(zone string) {
	p.mu.Lock()
	p.zone = zone
	var ended []*partitionedConn
	for connection, pair := range p.connections {
		if p.separatesLocked(pair) {
			ended = append(ended, connection)
		}
	}
	p.mu.Unlock()
	for _, connection := range ended {
		_ = connection.Close()
	}
}

func (p *partition) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zone = ""
}

// partitionedConn is a connection that a partition may end.
type partitionedConn struct {
	net.Conn
	partition *partition
}

// track makes a connection one that a partition may end.
func (p *partition) track(connection net.Conn, from, to string) net.Conn {
	tracked := &partitionedConn{Conn: connection, partition: p}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections[tracked] = zonesPair{from, to}
	return tracked
}

// Close is part of net.Conn.
func (c *partitionedConn) Close() error {
	c.partition.mu.Lock()
	delete(c.partition.connections, c)
	c.partition.mu.Unlock()
	return c.Conn.Close()
}

// partitionWhenDue begins and ends the experiment's partition.
func (b *testbed) partitionWhenDue(ctx context.Context, report *report) {
	spec := *b.experiment.Partition
	defer b.partition.end()
	if !wait.Sleep(ctx, durations.FromSeconds(spec.AtS)) {
		return
	}
	report.recordPartition(spec)
	b.partition.begin(spec.Zone)
	wait.Sleep(ctx, durations.FromSeconds(spec.ForS))
}
