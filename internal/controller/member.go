package controller

import (
	"time"

	"shaletrestle/coord/counter"
	"shaletrestle/coord/replication"
	"shaletrestle/coord/rpc"
	"shaletrestle/internal/adminapi"
	"shaletrestle/internal/settings"
)

// primaryTimeout is the time since the last contact after which calls are no longer redirected to the primary: one
// heartbeat was missed and the next one is late.
const primaryTimeout = 400 * time.Millisecond

// currentMember is this process's member of the replicated state machine. It names a primary only if the newest view
// does and it was in contact within primaryTimeout.
type currentMember struct{ *replication.Member }

// Primary is the member that is primary by the newest view known here, if it was in contact within primaryTimeout; if
// it is this one, it must be active too.
func (m currentMember) Primary() (primary rpc.Member, known bool) {
	primary, inContact := m.Member.Primary()
	view := m.View()
	if !inContact || view == nil || uint64(view.Primary.ID) != primary.ID {
		return rpc.Member{}, false
	}
	if primary.ID == m.Self().ID {
		_, active := m.PrimaryEpoch()
		return primary, active
	}
	return primary, m.SincePrimaryContact() < primaryTimeout
}

// replicationConfig derives from the settings which failures the member must tolerate, and connects it to this
// controller. Domains are regions if the settings want the loss of regions tolerated, else zones.
func (c *Controller) replicationConfig(store replication.Store) replication.Config {
	env := c.settings
	losses, tolerable := env.MaxFailures()
	if !tolerable {
		c.log.Warn("fault tolerance of the settings is not reachable in these zones", "zones", len(env.Zones), "max_failures", losses)
	}
	domainFailures, failureDomain := c.failureDomains()
	return replication.Config{
		Address:           env.Port(settings.ControlPortOffset),
		Zone:              env.Zone,
		Seeds:             env.SeedMembers(),
		MaxFailures:       losses,
		MaxDomainFailures: domainFailures,
		FailureDomain:     failureDomain,
		Relay:             !env.HasDisk(),
		Store:             store,
		StateMachine:      c.replicated,
		Transport:         replication.NewLinks(c.pool),
		OnBecomePrimary:   c.becomePrimary,
		OnStepDown:        c.stepDown,
		Invariants:        c.invariants,
	}
}

// failureDomains gives how many failure domains may be lost at once, and the domain of a zone.
func (c *Controller) failureDomains() (maxFailures int, domainOf func(zone string) string) {
	env := c.settings
	if env.Tolerance.Regions > 0 {
		return env.Tolerance.Regions, func(zone string) string { return env.Zones[zone] }
	}
	return env.Tolerance.Zones, func(zone string) string { return zone }
}

// makeTallies makes the tallies if the deployment has them. They bear the failures that the replication bears.
func (c *Controller) makeTallies(store CounterStore) adminapi.TallyState {
	if !c.settings.HasContract(settings.ContractApart) {
		return nil
	}
	losses, _ := c.settings.MaxFailures()
	domainFailures, domainOf := c.failureDomains()
	policy := counter.Policy{MaxFailures: losses, MaxDomainFailures: domainFailures}
	c.tallies = newTallies(c, store, policy, domainOf)
	return c.tallies
}

// primaryToFollow is the address of the process that this one follows as a relay: the primary; empty if it is this one
// or not known. It doesn't depend on the parent that failed: relays follow the primary alone.
func (c *Controller) primaryToFollow(string) string {
	primary, known := c.member.Primary()
	if !known || primary.ID == c.member.Self().ID {
		return ""
	}
	return primary.Address
}

// controllerZone gives the zone of a member's address; empty if it is not known.
func (c *Controller) controllerZone(address string) string {
	for _, member := range c.member.Members() {
		if member.Address == address {
			return member.Zone
		}
	}
	return ""
}
