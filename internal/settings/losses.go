package settings

// HasDisk tells whether this machine keeps the control state on its disk.
func (e *Settings) HasDisk() bool { return e.Quorum && e.DataDir != "" }

// Losses is the number of control members whose loss at once must be tolerated:
// the machines that may go, or as many members as the zones or regions that may
// go hold, when 2 x losses + 1 witnesses are spread evenly over all. If no number
// tolerates that, as with two zones of which one may go, ok is false and the
// number is the largest of the three tolerances.
func (e *Settings) Losses() (losses int, ok bool) {
	regions := map[string]bool{}
	for _, region := range e.Zones {
		regions[region] = true
	}
	tolerance := e.Tolerance
	least := max(tolerance.Machines, tolerance.Zones, tolerance.Regions)
	for losses = least; losses <= maxLosses; losses++ {
		witnesses := 2*losses + 1
		inZones := tolerance.Zones * membersPerPlace(witnesses, len(e.Zones))
		inRegions := tolerance.Regions * membersPerPlace(witnesses, len(regions))
		if inZones <= losses && inRegions <= losses {
			return losses, true
		}
	}
	return least, false
}

// mostInOne is the most members in one place if they are spread evenly.
func membersPerPlace(members, places int) int {
	places = max(places, 1)
	return (members + places - 1) / places
}
