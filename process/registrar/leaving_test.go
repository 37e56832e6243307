package registrar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSaysLeaving guards against calls to an endpoint whose answers say that it leaves while
// its entry says that it is ready: later entries of the same process and records of peers
// must not make it usable again, a new process must be.
func TestSaysLeaving(t *testing.T) {
	now := time.Unix(1000, 0)
	first := Endpoint{ID: "e", Service: "llm", Address: "10.0.0.1:1", Revision: plain(3), Started: time.Unix(900, 0)}
	var reg, peer Registry
	for _, other := range []*Registry{&reg, &peer} {
		other.MergeComplete([]Endpoint{first}, plain(3), now)
		other.Confirm(plain(3), now)
	}
	changed := reg.MarkLeaving(first)
	require.Len(t, changed, 1)
	require.Empty(t, reg.MarkLeaving(first), "it is known already")
	require.Empty(t, reg.Usable("llm", now))
	require.True(t, reg.KnownUnusable("e", now))

	require.Len(t, peer.Merge(FromMessage(Message(changed, Revision{})), plain(0), now), 1)
	require.Empty(t, peer.Usable("llm", now))
	require.Empty(t, reg.Merge([]Endpoint{first}, plain(0), now), "an older record of a peer")

	later := first
	later.Revision, later.Slots = plain(4), 8
	reg.Merge([]Endpoint{later}, plain(4), now)
	require.Empty(t, reg.Usable("llm", now))

	reborn := first
	reborn.Revision, reborn.Started = plain(5), time.Unix(1000, 0)
	reg.Merge([]Endpoint{reborn}, plain(5), now)
	require.Len(t, reg.Usable("llm", now), 1)
	require.Empty(t, reg.MarkLeaving(first), "a late answer of the earlier process")
	require.Len(t, reg.Usable("llm", now), 1)
}
