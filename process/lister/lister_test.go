package lister

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/connection/persister"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// fakeRegion is a set of listers that read from one simulated platform.
type fakeRegion struct {
	now         time.Time
	entries     map[string]persister.Entry
	unavailable bool
	reads       int
	live        map[string]bool
	listers     map[string]*Lister
	ids         []string
}

// Entries returns the platform's list.
func (reg *fakeRegion) Entries(context.Context) ([]persister.Entry, error) {
	reg.reads++
	if reg.unavailable {
		return nil, persister.ErrUnavailable
	}
	out := []persister.Entry{}
	for _, ent := range reg.entries {
		out = append(out, ent)
	}
	return out, nil
}

func newRegion(num int) *fakeRegion {
	reg := &fakeRegion{now: time.Unix(1_700_000_000, 0), entries: map[string]persister.Entry{}, live: map[string]bool{}, listers: map[string]*Lister{}}
	for i := range num {
		reg.ids = append(reg.ids, fmt.Sprintf("host-%d", i))
		reg.start(reg.ids[i])
	}
	return reg
}

func (reg *fakeRegion) start(id string) {
	reg.live[id] = true
	incarnation := uint64(reg.now.UnixNano())
	reg.listers[id] = &Lister{
		Platform: reg, Self: id, Incarnation: func() uint64 { return incarnation }, MinInterval: time.Second,
		Clock: func() time.Time { return reg.now },
		LivePeers: func() []string {
			var out []string
			for other, alive := range reg.live {
				if alive && other != id {
					out = append(out, other)
				}
			}
			return out
		},
	}
}

// pullFrom lets a host receive the stamp of a peer and pull the peer's list if necessary.
// It reports whether the host needs nothing more from the peer.
func (reg *fakeRegion) pullFrom(id, peer string) bool {
	lis, other := reg.listers[id], reg.listers[peer]
	if !lis.ObserveStamp(other.StampMessage(reg.now), reg.now) {
		return true
	}
	heldStamp := lis.StampMessage(reg.now)
	for range 2 {
		adopted, wantMore, _ := lis.Receive(other.Offer(heldStamp, reg.now), reg.now)
		if adopted {
			return true
		}
		if wantMore {
			heldStamp = nil
		}
	}
	return false
}

// tick lets each live host get the list and exchange it with some other hosts, and
// advances the clock by one second.
func (reg *fakeRegion) tick(t require.TestingT) {
	for i, id := range reg.ids {
		if !reg.live[id] {
			continue
		}
		_, _ = reg.listers[id].Entries(context.Background())
		for offset := 1; offset < len(reg.ids); offset *= 2 {
			if peer := reg.ids[(i+offset)%len(reg.ids)]; reg.live[peer] {
				require.True(t, reg.pullFrom(id, peer), "%s did not catch up with %s", id, peer)
			}
		}
	}
	reg.now = reg.now.Add(time.Second)
}

func (reg *fakeRegion) requireConverged(t require.TestingT) {
	for id, alive := range reg.live {
		if !alive {
			continue
		}
		ents, err := reg.listers[id].Entries(context.Background())
		require.NoError(t, err)
		require.Equal(t, reg.entries, byID(ents), "host %s", id)
	}
}

// Only one host of a region may read the list, whatever the size of the region, and no
// host may lose its list in an outage of the platform.
func TestOneHostReads(t *testing.T) {
	for _, num := range []int{4, 32} {
		reg := newRegion(num)
		reg.entries["engine"] = persister.Entry{ID: "engine"}
		for range 10 {
			reg.tick(t)
		}
		reg.requireConverged(t)
		reg.reads = 0
		for second := range 60 {
			reg.entries["engine"] = persister.Entry{ID: "engine", Address: fmt.Sprint(second / 10)}
			reg.tick(t)
		}
		require.LessOrEqual(t, reg.reads, 65)
		reg.requireConverged(t)
		reg.unavailable = true
		for range 60 {
			reg.tick(t)
		}
		for _, id := range reg.ids {
			require.Len(t, reg.listers[id].held.entries, 1)
		}
	}
}

// A long list must be read less often, so that its traffic stays bounded.
func TestLongListIsReadLessOften(t *testing.T) {
	reg := newRegion(1)
	for i := range 2000 {
		reg.entries[fmt.Sprint(i)] = persister.Entry{ID: fmt.Sprint(i), Kind: persister.KindEngine, Address: "10.0.0.1:8000", DataCenter: "colombo"}
	}
	for range 300 {
		reg.tick(t)
	}
	size := reg.listers["host-0"].held.size
	require.LessOrEqual(t, reg.reads*size/300, 2*maxReadRate)
}

// Hosts stop and restart and the list changes, in any order: all live hosts must end up
// with the platform's list, and corrupted offers must be refused.
func TestListHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		reg := newRegion(4)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			id := rapid.SampledFrom(reg.ids).Draw(rt, "host")
			switch rapid.SampledFrom([]string{"list", "unlist", "die", "start", "outage", "back", "damage", "second", "second"}).Draw(rt, "step") {
			case "list":
				ent := fmt.Sprintf("engine-%d", rapid.IntRange(0, 4).Draw(rt, "entry"))
				reg.entries[ent] = persister.Entry{ID: ent, Leaving: rapid.Bool().Draw(rt, "leaving")}
			case "unlist":
				delete(reg.entries, fmt.Sprintf("engine-%d", rapid.IntRange(0, 4).Draw(rt, "entry")))
			case "die":
				reg.live[id] = false
			case "start":
				if !reg.live[id] {
					reg.start(id)
				}
			case "outage", "back":
				reg.unavailable = rapid.Bool().Draw(rt, "down")
			case "damage":
				reg.damage(rt, id)
			case "second":
				reg.tick(rt)
			}
		}
		reg.unavailable = false
		reg.start("host-0")
		for range 40 {
			reg.tick(rt)
		}
		reg.requireConverged(rt)
	})
}

// damage offers a list with one changed byte to a host.
func (reg *fakeRegion) damage(rt *rapid.T, id string) {
	other := reg.listers[rapid.SampledFrom(reg.ids).Draw(rt, "other")]
	pus := other.Offer(nil, reg.now)
	if len(pus.GetChanged()) == 0 {
		return
	}
	pus.Changed[rapid.IntRange(0, len(pus.Changed)-1).Draw(rt, "byte")] ^= 0x10
	before := reg.listers[id].held
	adopted, _, _ := reg.listers[id].Receive(pus, reg.now)
	if adopted {
		require.Equal(rt, byID(other.held.entries), byID(reg.listers[id].held.entries))
		return
	}
	require.Equal(rt, before.entries, reg.listers[id].held.entries)
}

// An offer that can be decoded, but whose entries do not match its checksum, must be
// refused.
func TestDamagedOfferIsRefused(t *testing.T) {
	reg := newRegion(2)
	reg.tick(t)
	reader := ReaderOf("host-0", []string{"host-1"})
	other := map[string]string{"host-0": "host-1", "host-1": "host-0"}[reader]
	reg.entries["engine"] = persister.Entry{ID: "engine"}
	_, err := reg.listers[reader].Entries(t.Context())
	require.NoError(t, err)
	pus := reg.listers[reader].Offer(nil, reg.now)
	pus.Changed = encode([]persister.Entry{{ID: "another"}})
	adopted, wantMore, err := reg.listers[other].Receive(pus, reg.now)
	require.ErrorIs(t, err, ErrMismatch)
	require.False(t, adopted)
	require.True(t, wantMore)
}

// Hosts must neither switch between the lists of two sources nor return to an earlier list.
func TestAdopts(t *testing.T) {
	held := Stamp{Source: "a", Incarnation: 2, Sequence: 5}
	tests := []struct {
		name          string
		held, offered Stamp
		reader        string
		want          bool
	}{
		{"none held", Stamp{}, held, "b", true},
		{"same", held, held, "a", false},
		{"later", held, Stamp{Source: "a", Incarnation: 2, Sequence: 6}, "a", true},
		{"earlier", held, Stamp{Source: "a", Incarnation: 2, Sequence: 4}, "a", false},
		{"restarted", held, Stamp{Source: "a", Incarnation: 3, Sequence: 1}, "a", true},
		{"earlier process", held, Stamp{Source: "a", Incarnation: 1, Sequence: 9}, "a", false},
		{"new reader", held, Stamp{Source: "b", Incarnation: 1, Sequence: 1}, "b", true},
		{"a source that is not the reader", held, Stamp{Source: "c", Incarnation: 9, Sequence: 9}, "b", false},
	}
	for _, tt := range tests {
		require.Equal(t, tt.want, Adopts(tt.held, tt.offered, tt.reader), tt.name)
	}
}

func BenchmarkObserveStamp(b *testing.B) {
	reg := newRegion(1)
	reg.tick(b)
	lis := reg.listers["host-0"]
	for b.Loop() {
		_ = lis.ObserveStamp(&messenger.ListStamp{Source: "other", Sequence: 1}, reg.now)
	}
}
