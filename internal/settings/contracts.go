package settings

import "slices"

// ContractApart is the part of the rules on partitions that last: both sides keep tallies.
const ContractApart = "apart"

// knownContracts are the parts of the rules that this version is built for.
var knownContracts = []string{
	"base", "drain", "config", "cost", "retry", "recover", "health", "pool", "places", "engine", "stream", ContractApart,
}

// HasContract reports whether a part of the rules is in force.
func (s *Settings) HasContract(name string) bool { return slices.Contains(s.Contracts, name) }

// UnknownContracts are the parts of the rules in force that this version knows nothing of: what they ask for is not there.
func (s *Settings) UnknownContracts() []string {
	var unknown []string
	for _, name := range s.Contracts {
		if !slices.Contains(knownContracts, name) {
			unknown = append(unknown, name)
		}
	}
	return unknown
}
