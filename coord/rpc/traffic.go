package rpc

import (
	"net"
	"time"

	"go.uber.org/atomic"

	"shaletrestle/coord/rpc/rpcfb"
)

// Direction is which way messages go, as this process sees it.
type Direction int

// The directions.
const (
	Sent Direction = iota
	Received
	directions // their number
)

func (d Direction) String() string { return [directions]string{"sent", "received"}[d] }

// PeerZone is where the process at the other end of a channel is.
type PeerZone int

// Where a peer may be. A peer's zone is known once it has named itself, or by Traffic's function of its address.
const (
	UnknownZone PeerZone = iota
	OwnZone
	OtherZone
	peerZones // their number
)

func (z PeerZone) String() string { return [peerZones]string{"unknown", "own", "other"}[z] }

// kinds is the number of kinds, with one for all that this version doesn't know.
const kinds = int(Counters) + 1

var kindNames = [kinds]string{
	0: "unknown", Hello: "hello", Replication: "replication", Lease: "lease", Subscribe: "subscribe", Update: "update",
	UpdateAck: "update_ack", Suspect: "suspect", LoadSums: "load_sums", Loan: "loan", Job: "job", List: "list",
	Counters: "counters",
}

// String is the kind's name in metrics; "unknown" for a kind that this version doesn't know.
func (k Kind) String() string { return kindNames[k.index()] }

// isForwarded reports whether messages of the kind are passed on as they are, so that From is not the peer.
func (k Kind) isForwarded() bool { return k == LoadSums || k == Suspect }

func (k Kind) index() int {
	if int(k) >= kinds {
		return 0
	}
	return int(k)
}

// Traffic counts the messages of a process. It is safe for concurrent use.
type Traffic struct {
	zone     string
	options  TrafficOptions
	invalid  atomic.Int64
	messages [kinds][directions][peerZones]atomic.Int64
	bytes    [kinds][directions][peerZones]atomic.Int64
}

// TrafficCount is what was counted of one kind, direction and place.
type TrafficCount struct {
	Kind      Kind
	Direction Direction
	Peer      PeerZone
	Messages  int64
	Bytes     int64 // with the frames' prefixes, without the heads of TCP and IP
}

// TrafficOptions say what a Traffic asks and tells. The functions may be called at any time, also concurrently.
type TrafficOptions struct {
	// ZoneOf gives the zone of an address that is dialled, empty if it is not known. nil: none is known.
	ZoneOf func(address string) string
	// OnInvalid is told of bytes that are no message, by the peer's network address; their channel closes. nil: nobody is.
	OnInvalid func(peer string, err error)
}

// NewTraffic counts for a process in a zone.
func NewTraffic(zone string, options TrafficOptions) *Traffic {
	return &Traffic{zone: zone, options: options}
}

// Invalid is how many times bytes came in that are no message.
func (t *Traffic) Invalid() int64 { return t.invalid.Load() }

// Counts lists what was counted, without zeros, by kind, direction and place.
func (t *Traffic) Counts() []TrafficCount {
	var counts []TrafficCount
	for kind := range kinds {
		for direction := range directions {
			for peer := range peerZones {
				messages := t.messages[kind][direction][peer].Load()
				if messages == 0 {
					continue
				}
				counts = append(counts, TrafficCount{Kind(kind), direction, peer, messages, t.bytes[kind][direction][peer].Load()})
			}
		}
	}
	return counts
}

func (t *Traffic) add(kind Kind, direction Direction, peer PeerZone, encoded int) {
	t.messages[kind.index()][direction][peer].Inc()
	t.bytes[kind.index()][direction][peer].Add(int64(encoded + framePrefixBytes))
}

func (t *Traffic) place(zone string) PeerZone {
	switch zone {
	case "":
		return UnknownZone
	case t.zone:
		return OwnZone
	}
	return OtherZone
}

// Net gives a network whose connections are counted by the channels that are opened over them.
func (t *Traffic) Net(network Net) Net { return &countedNet{network, t} }

type countedNet struct {
	Net
	traffic *Traffic
}

func (n *countedNet) Dial(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := n.Net.Dial(address, timeout)
	if err != nil {
		return nil, err
	}
	peer := UnknownZone
	if n.traffic.options.ZoneOf != nil {
		peer = n.traffic.place(n.traffic.options.ZoneOf(address))
	}
	return &countedConn{conn, n.traffic, peer}, nil
}

func (n *countedNet) Listen(address string) (net.Listener, error) {
	listener, err := n.Net.Listen(address)
	if err != nil {
		return nil, err
	}
	return &countedListener{listener, n.traffic}, nil
}

type countedListener struct {
	net.Listener
	traffic *Traffic
}

func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{conn, l.traffic, UnknownZone}, nil
}

// countedConn is a connection whose channel counts.
type countedConn struct {
	net.Conn
	traffic *Traffic
	peer    PeerZone // by its address
}

// channelCounter counts the messages of one channel. nil counts nothing.
type channelCounter struct {
	traffic *Traffic
	peer    atomic.Int32 // a PeerZone
}

// newChannelCounter gives the counter of a channel over a connection; nil if it is not counted.
func newChannelCounter(conn net.Conn) *channelCounter {
	counted, ok := conn.(*countedConn)
	if !ok {
		return nil
	}
	counter := &channelCounter{traffic: counted.traffic}
	counter.peer.Store(int32(counted.peer))
	return counter
}

func (c *channelCounter) sent(encoded []byte) {
	if c == nil {
		return
	}
	kind := Kind(rpcfb.GetRootAsMessage(encoded, 0).Kind())
	c.traffic.add(kind, Sent, PeerZone(c.peer.Load()), len(encoded))
}

func (c *channelCounter) received(message *Message, encoded int) {
	if c == nil {
		return
	}
	if message.From.Zone != "" && !message.Kind.isForwarded() {
		c.peer.Store(int32(c.traffic.place(message.From.Zone)))
	}
	c.traffic.add(message.Kind, Received, PeerZone(c.peer.Load()), encoded)
}

// receivedInvalid counts bytes that are no message.
func (c *channelCounter) receivedInvalid(peer net.Addr, err error) {
	if c == nil {
		return
	}
	c.traffic.invalid.Inc()
	if c.traffic.options.OnInvalid != nil {
		c.traffic.options.OnInvalid(peer.String(), err)
	}
}
