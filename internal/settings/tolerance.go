package settings

// maxFailures bounds the members that may be lost at once: 8 need 17 witnesses.
const maxFailures = 8

// HasDisk reports whether this machine keeps the control state on its disk.
func (s *Settings) HasDisk() bool { return s.QuorumMember && s.DataDir != "" }

// MaxFailures is the number of control members whose loss at once must be tolerated: the machines that may go, or as
// many members as the zones or regions that may go hold, when 2 x failures + 1 witnesses are spread evenly over all.
// If no number tolerates that, as with two zones of which one may go, tolerable is false and the number is the largest
// of the three tolerances.
func (s *Settings) MaxFailures() (failures int, tolerable bool) {
	regions := map[string]bool{}
	for _, region := range s.Zones {
		regions[region] = true
	}
	tolerance := s.Tolerance
	least := max(tolerance.Machines, tolerance.Zones, tolerance.Regions)
	for failures = least; failures <= maxFailures; failures++ {
		witnesses := 2*failures + 1
		inZones := tolerance.Zones * membersPerDomain(witnesses, len(s.Zones))
		inRegions := tolerance.Regions * membersPerDomain(witnesses, len(regions))
		if inZones <= failures && inRegions <= failures {
			return failures, true
		}
	}
	return least, false
}

// membersPerDomain is the most members in one failure domain if they are spread evenly.
func membersPerDomain(members, domains int) int {
	domains = max(domains, 1)
	return (members + domains - 1) / domains
}
