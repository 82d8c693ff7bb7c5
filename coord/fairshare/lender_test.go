package fairshare

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLender_Window_BoundsLoansAlsoOfPredecessors(t *testing.T) {
	t0 := time.Unix(1000, 0)
	l := NewLender(10, 12*time.Second)
	require.Zero(t, l.Lend("p", 4, t0, t0.Add(12*time.Second)))
	at := t0.Add(13 * time.Second)
	require.EqualValues(t, 4, l.Lend("p", 4, t0, at))
	require.EqualValues(t, 4, l.Lend("p", 4, t0, at))
	require.EqualValues(t, 2, l.Lend("p", 4, t0, at))
	require.Zero(t, l.Lend("p", 4, t0, at.Add(12*time.Second)))
	require.EqualValues(t, 4, l.Lend("q", 4, t0, at), "each service has its own")
	require.EqualValues(t, 4, l.Lend("p", 4, t0, at.Add(12*time.Second+1)))
	require.Zero(t, l.Lend("p", 4, at, at.Add(time.Second)), "responsibility began anew: earlier loans may be in use")
	require.Zero(t, l.Lend("p", -4, t0, at.Add(time.Hour)))
}
