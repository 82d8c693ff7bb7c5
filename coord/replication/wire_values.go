package replication

import (
	"shaletrestle/coord/replication/core"
	fb "shaletrestle/coord/replication/replicationfb"
)

// Bounds on what is read: damaged bytes must not make a process allocate more than a few times their size.
const (
	maxMembers      = 256 // members in one list; groups have some tens at most
	maxAddressBytes = 256 // of an address or of a zone's name
)

// decoder reads the values that messages are made of. It goes on after a value that is missing or over its bound; invalid tells afterwards that there was one.
type decoder struct{ invalid bool }

func (d *decoder) text(b []byte) string {
	if len(b) > maxAddressBytes {
		d.invalid = true
		return ""
	}
	return string(b)
}

func encodeMember(m core.Member) *fb.MemberT {
	return &fb.MemberT{Id: uint64(m.ID), Address: m.Address, Zone: m.Zone}
}

func (d *decoder) member(t *fb.Member) core.Member {
	if t == nil {
		return core.Member{}
	}
	return core.Member{ID: core.MemberID(t.Id()), Address: d.text(t.Address()), Zone: d.text(t.Zone())}
}

func encodeMembers(members []core.Member) []*fb.MemberT {
	tables := make([]*fb.MemberT, len(members))
	for i, member := range members {
		tables[i] = encodeMember(member)
	}
	return tables
}

func (d *decoder) members(length int, at func(*fb.Member, int) bool) []core.Member {
	if length > maxMembers {
		d.invalid = true
		return nil
	}
	var members []core.Member
	for i := range length {
		var t fb.Member
		if at(&t, i) {
			members = append(members, d.member(&t))
		}
	}
	return members
}

func encodePosition(p core.Position) *fb.PositionT {
	return &fb.PositionT{Index: uint64(p.Index), Digest: uint64(p.Digest)}
}

func (d *decoder) position(t *fb.Position) core.Position {
	if t == nil {
		return core.Position{}
	}
	return core.Position{Index: core.Index(t.Index()), Digest: core.Digest(t.Digest())}
}

func encodeTag(t core.StateTag) *fb.StateTagT {
	return &fb.StateTagT{Epoch: uint64(t.Epoch), Ballot: uint64(t.Ballot)}
}

func (d *decoder) tag(t *fb.StateTag) core.StateTag {
	if t == nil {
		return core.StateTag{}
	}
	return core.StateTag{Epoch: core.Epoch(t.Epoch()), Ballot: core.Ballot(t.Ballot())}
}

func encodeStatus(s core.Status) *fb.StatusT {
	return &fb.StatusT{Fit: s.Writable, Relay: s.Relay, Leaving: s.Leaving, FirstDisk: s.BootstrapDisk, Position: encodePosition(s.Position)}
}

func (d *decoder) status(t *fb.Status) core.Status {
	if t == nil {
		return core.Status{}
	}
	return core.Status{
		Writable:      t.Fit(),
		Relay:         t.Relay(),
		Leaving:       t.Leaving(),
		BootstrapDisk: t.FirstDisk(),
		Position:      d.position(t.Position(nil)),
	}
}

func encodeView(v *core.View) *fb.ViewT {
	if v == nil {
		return nil
	}
	return &fb.ViewT{
		Epoch:     uint64(v.Epoch),
		Ballot:    uint64(v.Ballot),
		Witnesses: encodeMembers(v.Witnesses),
		Primary:   encodeMember(v.Primary),
		Backups:   encodeMembers(v.Backups),
		Base:      encodePosition(v.Base),
	}
}

func (d *decoder) view(t *fb.View) *core.View {
	if t == nil {
		return nil
	}
	return &core.View{
		Epoch:     core.Epoch(t.Epoch()),
		Ballot:    core.Ballot(t.Ballot()),
		Witnesses: d.members(t.WitnessesLength(), t.Witnesses),
		Primary:   d.member(t.Primary(nil)),
		Backups:   d.members(t.BackupsLength(), t.Backups),
		Base:      d.position(t.Base(nil)),
	}
}

// requiredView reads a view that a message can't do without.
func (d *decoder) requiredView(t *fb.View) core.View {
	view := d.view(t)
	if view == nil {
		d.invalid = true
		return core.View{}
	}
	return *view
}

func encodeEntry(e core.Entry) *fb.EntryT {
	return &fb.EntryT{
		Index:    uint64(e.Index),
		Epoch:    uint64(e.Epoch),
		Ballot:   uint64(e.Ballot),
		Previous: uint64(e.Previous),
		Data:     e.Data,
	}
}

func (d *decoder) entry(t *fb.Entry) core.Entry {
	if t == nil {
		d.invalid = true
		return core.Entry{}
	}
	return core.Entry{
		Index:    core.Index(t.Index()),
		Epoch:    core.Epoch(t.Epoch()),
		Ballot:   core.Ballot(t.Ballot()),
		Previous: core.Digest(t.Previous()),
		Data:     t.DataBytes(),
	}
}
