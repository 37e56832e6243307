package assigner

import (
	"testing"
	"time"

	"hemlockpin/process/registrar"
	"hemlockpin/request/relayer"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// TestHeldEndpoints guards against calls to endpoints that want none for a time: others are
// used, and if there are none, calls are refused with the time until the first takes calls.
func TestHeldEndpoints(t *testing.T) {
	now := time.Unix(1000, 0)
	first := registrar.Endpoint{ID: "d1", Service: "desk", Address: "10.0.1.1:1", Revision: registrar.Revision{Number: 1}}
	second := registrar.Endpoint{ID: "d2", Service: "desk", Address: "10.0.1.2:1", Revision: registrar.Revision{Number: 1}, Started: now}
	ass := &Assigner{Registry: &registrar.Registry{}, Pool: pool, Holds: &Holds{}, Clock: func() time.Time { return now }, Log: zerolog.Nop()}
	ass.Registry.MergeComplete([]registrar.Endpoint{first, second}, registrar.Revision{Number: 1}, now)
	ass.Registry.Confirm(registrar.Revision{Number: 1}, now)
	place := func() (string, error) {
		lea, err := ass.Place(t.Context(), relayer.PlacementRequest{ID: "c", Pool: "desk"})
		return lea.Endpoint.ID, err
	}
	ass.observeAnswer(first, 0)(relayer.AnswerInfo{RetryAfter: 3 * time.Second})
	for range 8 {
		id, err := place()
		require.NoError(t, err)
		require.Equal(t, "d2", id)
	}
	ass.observeAnswer(second, 0)(relayer.AnswerInfo{RetryAfter: 5 * time.Second})
	_, err := place()
	var refused *relayer.RefusedError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, 3*time.Second, refused.RetryAfter)

	// A shorter wish does not end a longer one, and a new process has none.
	ass.observeAnswer(first, 0)(relayer.AnswerInfo{RetryAfter: time.Millisecond})
	_, err = place()
	require.Error(t, err)
	second.Started, second.Revision = now.Add(time.Second), registrar.Revision{Number: 2}
	ass.Registry.Merge([]registrar.Endpoint{second}, registrar.Revision{Number: 2}, now)
	id, err := place()
	require.NoError(t, err)
	require.Equal(t, "d2", id)
	now = now.Add(3 * time.Second)
	ass.Registry.Confirm(registrar.Revision{Number: 2}, now)
	require.Zero(t, ass.Holds.Left(first, now))
}

// TestHoldOutlivesOtherWriters guards against an entry of another writer, without the start of the
// process, that ends the time for which an endpoint wants no calls.
func TestHoldOutlivesOtherWriters(t *testing.T) {
	now := time.Unix(1000, 0)
	started := now.Add(-time.Minute)
	var hol Holds
	hol.add(registrar.Endpoint{ID: "a", Started: started}, time.Second, now)
	require.Positive(t, hol.Left(registrar.Endpoint{ID: "a", Started: started}, now))
	require.Positive(t, hol.Left(registrar.Endpoint{ID: "a"}, now))
	require.Positive(t, hol.Left(registrar.Endpoint{ID: "a", Started: started.Add(-time.Hour)}, now))
	require.Zero(t, hol.Left(registrar.Endpoint{ID: "a", Started: started.Add(time.Hour)}, now))
	hol.add(registrar.Endpoint{ID: "b"}, time.Second, now)
	require.Positive(t, hol.Left(registrar.Endpoint{ID: "b", Started: started}, now))
}
