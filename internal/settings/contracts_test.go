package settings

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestContracts_UnknownOnes_AreNamed(t *testing.T) {
	s := &Settings{Contracts: []string{"base", "apart", "duties", "", "stream"}}
	require.Equal(t, []string{"duties", ""}, s.UnknownContracts())
	require.True(t, s.HasContract(ContractApart))
	require.False(t, s.HasContract("engine"), "known, but not in force")
	require.Empty(t, (&Settings{}).UnknownContracts())
}
