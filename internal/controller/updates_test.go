package controller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/state"
)

func TestController_BecomesPrimary_PublishesWhatFollowersMayKnow(t *testing.T) {
	c := openRecorded(t, "fresh")
	require.NoError(t, c.replicated.Update(state.EncodeEvent(changeTo(0, 5, "a"))))
	require.NoError(t, c.updates.Update(state.EncodeEvent(state.UpdateReplicas{Changed: []*state.Replica{{ID: "known as a relay"}}})))
	require.False(t, c.IsActivePrimary())
	require.Zero(t, c.updates.View().Config.Revision, "nothing is published before")

	c.becomePrimary(3)
	require.True(t, c.IsActivePrimary())
	view := c.updates.View()
	require.Equal(t, int64(5), view.Config.Revision)
	require.Contains(t, view.Replicas, "known as a relay")
	require.Nil(t, view.History)

	var published []state.Event
	c.updates.OnChange(func(_, _ *state.View, event state.Event) { published = append(published, event) })
	change := changeTo(5, 6, "b")
	for _, event := range []state.Event{change, state.EvacuateZone{Zone: "z"}} {
		require.NoError(t, c.replicated.Update(state.EncodeEvent(event)))
	}
	require.Equal(t, []state.Event{change.WithoutDigest(), state.EvacuateZone{Zone: "z"}}, published)

	c.stepDown()
	require.False(t, c.IsActivePrimary())
	require.NoError(t, c.replicated.Update(state.EncodeEvent(state.ReadmitZone{Zone: "z"})))
	require.Len(t, published, 2, "a member that is not primary publishes nothing")
}

func TestController_WantsListLease_ALeaseSpanAfterBecomingPrimary(t *testing.T) {
	c := openRecorded(t, "fresh")
	require.False(t, c.wantsListLease())
	c.becomePrimary(3)
	require.False(t, c.wantsListLease(), "the primary before may still hold it")
	c.primarySince.Store(time.Now().Add(-time.Hour))
	require.True(t, c.wantsListLease())
	c.shuttingDown.Store(true)
	require.False(t, c.wantsListLease())
}
