package registrar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLeavingOutlivesOtherWriters guards against an entry of another writer, without the start of
// the process or with an older one, that brings back an endpoint whose answers say that it leaves.
// Only a later process of the endpoint is another one.
func TestLeavingOutlivesOtherWriters(t *testing.T) {
	started := epoch.Add(-time.Minute)
	own := ready("a", 1)
	own.Started = started
	for name, tt := range map[string]struct {
		started time.Time
		usable  bool
	}{
		"without a start": {time.Time{}, false},
		"older start":     {started.Add(-time.Hour), false},
		"same start":      {started, false},
		"later start":     {started.Add(time.Hour), true},
	} {
		t.Run(name, func(t *testing.T) {
			var reg Registry
			reg.MergeComplete([]Endpoint{own}, plain(1), epoch)
			require.Len(t, reg.MarkLeaving(own), 1)
			other := ready("a", 2)
			other.Started = tt.started
			reg.Merge([]Endpoint{other}, plain(2), epoch)
			_, usable := reg.Find("a", epoch)
			require.Equal(t, tt.usable, usable)
			// A host that gets the records from this one must know the same.
			var peer Registry
			ends, rev := reg.RecordsAfter(plain(0))
			peer.MergeFromPeer(FromMessage(Message(ends, rev)), rev, epoch)
			_, usable = peer.Find("a", epoch)
			require.Equal(t, tt.usable, usable)
			// The entry of the process itself comes back.
			own := own
			own.Revision = plain(3)
			reg.Merge([]Endpoint{own}, plain(3), epoch)
			_, usable = reg.Find("a", epoch)
			require.Equal(t, tt.usable, usable)
		})
	}
}

// TestLeavingSaidDuringOtherEntry guards against an answer being ignored that says that its
// endpoint leaves, because another writer has changed the entry since the call was sent.
func TestLeavingSaidDuringOtherEntry(t *testing.T) {
	var reg Registry
	own := ready("a", 1)
	own.Started = epoch.Add(-time.Minute)
	reg.MergeComplete([]Endpoint{own}, plain(1), epoch)
	reg.Merge([]Endpoint{ready("a", 2)}, plain(2), epoch)
	require.Len(t, reg.MarkLeaving(own), 1)
	_, usable := reg.Find("a", epoch)
	require.False(t, usable)
}

// TestAgesOfRemoval guards against the age of a host's records and the delay of the removal of
// many entries adding up to more than the time within which a leaving endpoint gets no more calls.
func TestAgesOfRemoval(t *testing.T) {
	const within = 2 * time.Second
	for _, age := range []time.Duration{0, 500 * time.Millisecond, 1500 * time.Millisecond, 1900 * time.Millisecond} {
		reg := Registry{LeaveWithin: within}
		all := []Endpoint{ready("a", 1), ready("b", 1), ready("c", 1), ready("d", 1), ready("e", 1)}
		reg.MergeComplete(all, plain(1), epoch)
		reg.Confirm(plain(1), epoch)
		reg.outageEnd = time.Time{}
		// The store may have removed the entries right after the last confirmation.
		read := epoch.Add(age)
		reg.Merge([]Endpoint{all[0].asGone(), all[1].asGone(), all[2].asGone()}, plain(2), read)
		require.Len(t, reg.Usable("s", epoch.Add(max(age, within))), 2, age)
		if age < time.Second {
			require.Len(t, reg.Usable("s", read.Add(100*time.Millisecond)), 5, "an outage may be the cause")
		}
	}
}
