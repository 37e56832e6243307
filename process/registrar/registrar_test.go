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
	return Endpoint{ID: id, Service: "s", Address: "10.0.0.1:1", Revision: plain(rev)}
}

func (end Endpoint) asGone() Endpoint { end.Gone = true; return end }

func (end Endpoint) asLeaving() Endpoint { end.Leaving = true; return end }

func ids(ends []Endpoint) []string {
	out := []string{}
	for _, end := range ends {
		out = append(out, end.ID)
	}
	return out
}

// TestMergeOrder merges the same records in random orders: the result must be the same.
func TestMergeOrder(t *testing.T) {
	recs := []Endpoint{ready("a", 1), ready("a", 4).asLeaving(), ready("a", 4).asLeaving().asGone(), ready("a", 9), ready("b", 2), ready("b", 2).asGone(), ready("c", 3), ready("c", 7).asLeaving()}
	ran := rand.New(rand.NewPCG(20261204, 1))
	for range 200 {
		ran.Shuffle(len(recs), func(i, j int) { recs[i], recs[j] = recs[j], recs[i] })
		reg := Registry{confirmed: epoch}
		for _, rec := range recs {
			reg.Merge([]Endpoint{rec}, plain(0), epoch)
		}
		require.Equal(t, []string{"a"}, ids(reg.Usable("s", epoch.Add(time.Second))))
	}
}

// A complete list of the store's records must remove the endpoints that it lacks, except
// for those written after it was read.
func TestMergeComplete(t *testing.T) {
	var reg Registry
	reg.MergeComplete([]Endpoint{ready("a", 1), ready("b", 2)}, plain(5), epoch)
	reg.confirmed = epoch
	rev, complete := reg.Revision()
	require.True(t, complete)
	require.EqualValues(t, 5, rev.Number)
	// A peer has sent an entry that was written after the records were read.
	reg.Merge([]Endpoint{ready("c", 9)}, plain(0), epoch)
	reg.MergeComplete([]Endpoint{ready("a", 1)}, plain(7), epoch)
	require.Equal(t, []string{"a", "c"}, ids(reg.Usable("s", epoch.Add(time.Millisecond))))
	require.Empty(t, reg.Usable("other", epoch))
}

// A leaving endpoint must get no new requests, and a repeated record must not count as new.
func TestLeaving(t *testing.T) {
	var reg Registry
	reg.MergeComplete([]Endpoint{ready("a", 1), ready("b", 2)}, plain(2), epoch)
	require.Len(t, reg.Merge([]Endpoint{ready("a", 3).asLeaving()}, plain(3), epoch), 1)
	require.Empty(t, reg.Merge([]Endpoint{ready("a", 3).asLeaving()}, plain(3), epoch), "a repeated record is not new")
	require.Equal(t, []string{"b"}, ids(reg.Usable("s", epoch)))
	_, ok := reg.Find("a", epoch)
	require.False(t, ok)
}

// TestUnreadableEntry lets another writer corrupt an entry: the endpoint must be unusable
// until a valid entry is written.
func TestUnreadableEntry(t *testing.T) {
	var reg Registry
	reg.MergeComplete([]Endpoint{ready("a", 1)}, plain(1), epoch)
	reg.confirmed = epoch
	reg.Merge([]Endpoint{{ID: "a", Revision: plain(2), Gone: true}}, plain(2), epoch)
	require.Empty(t, reg.Usable("s", epoch))
	reg.Merge([]Endpoint{ready("a", 3)}, plain(3), epoch)
	require.Equal(t, []string{"a"}, ids(reg.Usable("s", epoch)))
}

// TestRepeatedInMessage guards against an older record of an endpoint that counts because it
// comes after a newer one in the same message.
func TestRepeatedInMessage(t *testing.T) {
	var reg Registry
	reg.MergeComplete([]Endpoint{ready("a", 1)}, plain(1), epoch)
	reg.confirmed = epoch
	reg.Merge([]Endpoint{ready("a", 3).asLeaving(), ready("a", 2), ready("b", 2).asGone(), ready("b", 2)}, plain(0), epoch)
	require.Empty(t, reg.Usable("s", epoch))
}

// TestGoneBeforeStart starts a host that receives the record of a removed endpoint from a
// peer: the host must never use the endpoint. Its records have not been confirmed yet,
// which delays other removals.
func TestGoneBeforeStart(t *testing.T) {
	var reg Registry
	reg.MergeFromPeer([]Endpoint{ready("a", 1), ready("b", 3).asGone()}, plain(3), epoch)
	require.Equal(t, []string{"a"}, ids(reg.Usable("s", epoch)))
	require.True(t, reg.KnownUnusable("b", epoch))
	require.False(t, reg.KnownUnusable("a", epoch))
	require.False(t, reg.KnownUnusable("unknown", epoch))
}

// TestOutage removes an entry at different times of an outage. If the store was down for
// all hosts, the entry must stay usable for two seconds after the store's return, in which
// the endpoint may register again. If the store refused only this host, peers have
// confirmed the records in the meantime and the removal must take effect at once.
func TestOutage(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name string
		// confirmed are the times at which the store or a peer confirmed the records.
		confirmed []time.Duration
		removedAt time.Duration
		// unusableFrom is the time from which the endpoint must get no new requests.
		unusableFrom time.Duration
	}{
		{"no outage", []time.Duration{2000 * ms, 4000 * ms, 4800 * ms}, 5000 * ms, 5000 * ms},
		{"the store refuses only this host", []time.Duration{2000 * ms, 4000 * ms}, 5000 * ms, 5000 * ms},
		{"during an outage", []time.Duration{1000 * ms}, 5000 * ms, 7000 * ms},
		{"after the store's return", []time.Duration{1000 * ms, 5000 * ms}, 5500 * ms, 7000 * ms},
		{"long after the store's return", []time.Duration{1000 * ms, 5000 * ms, 6000 * ms, 7500 * ms}, 8000 * ms, 8000 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			reg := Registry{confirmed: epoch}
			reg.MergeComplete([]Endpoint{ready("a", 1), ready("b", 1), ready("c", 1), ready("d", 1)}, plain(1), epoch)
			for _, at := range tt.confirmed {
				reg.Confirm(plain(1), epoch.Add(at))
			}
			reg.Merge([]Endpoint{ready("a", 1).asGone()}, plain(0), epoch.Add(tt.removedAt))
			usable := func(at time.Duration) bool {
				_, ok := reg.Find("a", epoch.Add(at))
				return ok
			}
			require.False(t, usable(tt.unusableFrom))
			if tt.unusableFrom > tt.removedAt {
				require.True(t, usable(tt.unusableFrom-time.Millisecond))
			}
		})
	}
}

// TestMassRemoval removes half of a service's endpoints at once without a known outage:
// the entries must stay usable a little longer, but less than the 2 s within which a
// leaving endpoint must get no more requests.
func TestMassRemoval(t *testing.T) {
	var reg Registry
	var all, lost []Endpoint
	for i := range 10 {
		all = append(all, ready(fmt.Sprint(i), 1))
	}
	for _, end := range all[:5] {
		lost = append(lost, end.asGone())
	}
	reg.MergeComplete(all, plain(1), epoch)
	reg.Confirm(plain(1), epoch.Add(-time.Hour))
	reg.Confirm(plain(1), epoch.Add(-300*time.Millisecond))
	// The gap between the two confirmations does not count as an outage.
	reg.outageEnd = time.Time{}
	reg.Merge(lost, plain(2), epoch)
	require.Len(t, reg.Usable("s", epoch.Add(time.Second)), 10)
	require.Len(t, reg.Usable("s", epoch.Add(2*time.Second)), 5)
}

// A host that pulls the records of a peer must get all changed and all removed records.
func TestExchangeBetweenPeers(t *testing.T) {
	var from, to Registry
	_, rev := to.RecordsAfter(plain(0))
	require.Zero(t, rev, "a host without records offers none")
	from.confirmed, to.confirmed = epoch, epoch
	from.MergeComplete([]Endpoint{ready("a", 1), ready("b", 2)}, plain(5), epoch)
	ends, rev := from.RecordsAfter(plain(0))
	push := Message(ends, rev)
	to.MergeFromPeer(FromMessage(push), Revision{Era: push.GetEra(), Number: push.GetRevision()}, epoch)
	require.Equal(t, []string{"a", "b"}, ids(to.Usable("s", epoch)))
	rev, complete := to.Revision()
	require.True(t, complete)
	require.EqualValues(t, 5, rev.Number)
	from.Merge([]Endpoint{ready("c", 6), ready("a", 1).asGone()}, plain(6), epoch)
	ends, rev = from.RecordsAfter(plain(5))
	require.Len(t, ends, 2, "the changed and the removed record")
	to.MergeFromPeer(ends, rev, epoch)
	require.Equal(t, []string{"b", "c"}, ids(to.Usable("s", epoch)))
}

// A confirmation of an older revision must not confirm the records.
func TestConfirm(t *testing.T) {
	var reg Registry
	reg.MergeComplete([]Endpoint{ready("a", 1)}, plain(5), epoch)
	reg.Confirm(plain(5), epoch)
	require.Equal(t, epoch, reg.Confirmed())
	reg.Confirm(plain(4), epoch.Add(time.Second))
	require.Equal(t, epoch, reg.Confirmed(), "an older revision confirms nothing")
}
