package registrar

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ready(id string, rev uint64) Endpoint {
	return Endpoint{ID: id, Service: "s", Address: "10.0.0.1:1", Revision: rev}
}

func (end Endpoint) gone() Endpoint { end.Gone = true; return end }

func (end Endpoint) leaving() Endpoint { end.Leaving = true; return end }

func ids(ends []Endpoint) []string {
	out := []string{}
	for _, end := range ends {
		out = append(out, end.ID)
	}
	return out
}

// TestMergeOrder tells the same records in any order: the outcome is the same.
func TestMergeOrder(t *testing.T) {
	recs := []Endpoint{ready("a", 1), ready("a", 4).leaving(), ready("a", 4).leaving().gone(), ready("a", 9), ready("b", 2), ready("b", 2).gone(), ready("c", 3), ready("c", 7).leaving()}
	ran := rand.New(rand.NewPCG(20261204, 1))
	for range 200 {
		ran.Shuffle(len(recs), func(one, two int) { recs[one], recs[two] = recs[two], recs[one] })
		reg := Registry{confirmed: epoch}
		for _, rec := range recs {
			reg.Merge([]Endpoint{rec}, 0, epoch)
		}
		require.Equal(t, []string{"a"}, ids(reg.Usable("s", epoch.Add(time.Second))))
	}
}

func TestReplace(t *testing.T) {
	var reg Registry
	reg.Replace([]Endpoint{ready("a", 1), ready("b", 2)}, 5, epoch)
	reg.confirmed = epoch
	rev, known := reg.Revision()
	require.True(t, known)
	require.EqualValues(t, 5, rev)
	// A peer has told of an entry that came after the reading.
	reg.Merge([]Endpoint{ready("c", 9)}, 0, epoch)
	reg.Replace([]Endpoint{ready("a", 1)}, 7, epoch)
	require.Equal(t, []string{"a", "c"}, ids(reg.Usable("s", epoch.Add(time.Millisecond))))
	require.Empty(t, reg.Usable("other", epoch))
}

func TestLeaving(t *testing.T) {
	var reg Registry
	reg.Replace([]Endpoint{ready("a", 1), ready("b", 2)}, 2, epoch)
	require.Len(t, reg.Merge([]Endpoint{ready("a", 3).leaving()}, 3, epoch), 1)
	require.Empty(t, reg.Merge([]Endpoint{ready("a", 3).leaving()}, 3, epoch), "it is no news twice")
	require.Equal(t, []string{"b"}, ids(reg.Usable("s", epoch)))
	_, ok := reg.Find("a", epoch)
	require.False(t, ok)
}

// TestUnreadable has another writer spoil an entry: it names no endpoint until it
// is written well again.
func TestUnreadable(t *testing.T) {
	var reg Registry
	reg.Replace([]Endpoint{ready("a", 1)}, 1, epoch)
	reg.confirmed = epoch
	reg.Merge([]Endpoint{{ID: "a", Revision: 2, Gone: true}}, 2, epoch)
	require.Empty(t, reg.Usable("s", epoch))
	reg.Merge([]Endpoint{ready("a", 3)}, 3, epoch)
	require.Equal(t, []string{"a"}, ids(reg.Usable("s", epoch)))
}

// TestGoneBeforeTheStart starts a host that learns from a peer of an endpoint that is gone:
// it never uses it, although nothing has confirmed its records yet.
func TestGoneBeforeTheStart(t *testing.T) {
	var reg Registry
	reg.MergeFromPeer([]Endpoint{ready("a", 1), ready("b", 3).gone()}, 3, epoch)
	require.Equal(t, []string{"a"}, ids(reg.Usable("s", epoch)))
	require.True(t, reg.Unusable("b", epoch))
	require.False(t, reg.Unusable("a", epoch))
	require.False(t, reg.Unusable("unknown", epoch))
}

// TestOutage removes an entry at different times of an outage. Where the store
// was away for all, the entry counts for two seconds after its return, in which
// the endpoint may register again. Where it turned away this host alone, peers
// have confirmed the records meanwhile and the removal counts at once.
func TestOutage(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name string
		// confirmed are the times at which the store or a peer confirmed the records.
		confirmed []time.Duration
		removed   time.Duration
		gone      time.Duration
	}{
		{"no outage", []time.Duration{2000 * ms, 4000 * ms, 4800 * ms}, 5000 * ms, 5000 * ms},
		{"the store turns away this host alone", []time.Duration{2000 * ms, 4000 * ms}, 5000 * ms, 5000 * ms},
		{"during an outage", []time.Duration{1000 * ms}, 5000 * ms, 7000 * ms},
		{"after the return", []time.Duration{1000 * ms, 5000 * ms}, 5500 * ms, 7000 * ms},
		{"long after the return", []time.Duration{1000 * ms, 5000 * ms, 6000 * ms, 7500 * ms}, 8000 * ms, 8000 * ms},
	}
	for _, tes := range tests {
		t.Run(tes.name, func(t *testing.T) {
			reg := Registry{confirmed: epoch}
			reg.Replace([]Endpoint{ready("a", 1), ready("b", 1), ready("c", 1), ready("d", 1)}, 1, epoch)
			for _, at := range tes.confirmed {
				reg.Confirm(1, epoch.Add(at))
			}
			reg.Merge([]Endpoint{ready("a", 1).gone()}, 0, epoch.Add(tes.removed))
			has := func(at time.Duration) bool {
				_, ok := reg.Find("a", epoch.Add(at))
				return ok
			}
			require.False(t, has(tes.gone))
			if tes.gone > tes.removed {
				require.True(t, has(tes.gone-time.Millisecond))
			}
		})
	}
}

// TestMassRemoval removes most of a service at once without a known outage: the
// entries count for a little longer, but less than the 2 s within which a leaving
// endpoint is to be left.
func TestMassRemoval(t *testing.T) {
	var reg Registry
	var all, lost []Endpoint
	for ind := range 10 {
		all = append(all, ready(fmt.Sprint(ind), 1))
	}
	for _, end := range all[:5] {
		lost = append(lost, end.gone())
	}
	reg.Replace(all, 1, epoch)
	reg.Confirm(1, epoch.Add(-time.Hour))
	reg.Confirm(1, epoch.Add(-time.Second))
	reg.back = time.Time{}
	reg.Merge(lost, 2, epoch)
	require.Len(t, reg.Usable("s", epoch.Add(time.Second)), 10)
	require.Len(t, reg.Usable("s", epoch.Add(2*time.Second)), 5)
}

func TestPeers(t *testing.T) {
	var one, two Registry
	_, rev := two.After(0)
	require.Zero(t, rev, "a host that knows nothing offers nothing")
	one.confirmed, two.confirmed = epoch, epoch
	one.Replace([]Endpoint{ready("a", 1), ready("b", 2)}, 5, epoch)
	ends, rev := one.After(0)
	push := Message(ends, rev)
	two.MergeFromPeer(FromMessage(push), push.GetRevision(), epoch)
	require.Equal(t, []string{"a", "b"}, ids(two.Usable("s", epoch)))
	rev, known := two.Revision()
	require.True(t, known)
	require.EqualValues(t, 5, rev)
	one.Merge([]Endpoint{ready("c", 6), ready("a", 1).gone()}, 6, epoch)
	ends, rev = one.After(5)
	require.Len(t, ends, 2, "what changed, and what is gone")
	two.MergeFromPeer(ends, rev, epoch)
	require.Equal(t, []string{"b", "c"}, ids(two.Usable("s", epoch)))
}

func TestConfirm(t *testing.T) {
	var reg Registry
	reg.Replace([]Endpoint{ready("a", 1)}, 5, epoch)
	reg.Confirm(5, epoch)
	require.Equal(t, epoch, reg.Confirmed())
	reg.Confirm(4, epoch.Add(time.Second))
	require.Equal(t, epoch, reg.Confirmed(), "an older revision confirms nothing")
}
