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

// region is a set of listers before one platform.
type region struct {
	now     time.Time
	entries map[string]persister.Entry
	down    bool
	reads   int
	live    map[string]bool
	listers map[string]*Lister
	ids     []string
}

// Entries is the platform's list.
func (reg *region) Entries(context.Context) ([]persister.Entry, error) {
	reg.reads++
	if reg.down {
		return nil, persister.ErrUnavailable
	}
	out := []persister.Entry{}
	for _, ent := range reg.entries {
		out = append(out, ent)
	}
	return out, nil
}

func newRegion(num int) *region {
	reg := &region{now: time.Unix(1_700_000_000, 0), entries: map[string]persister.Entry{}, live: map[string]bool{}, listers: map[string]*Lister{}}
	for ind := range num {
		reg.ids = append(reg.ids, fmt.Sprintf("host-%d", ind))
		reg.start(reg.ids[ind])
	}
	return reg
}

func (reg *region) start(id string) {
	reg.live[id] = true
	inc := uint64(reg.now.UnixNano())
	reg.listers[id] = &Lister{
		Platform: reg, Self: id, Incarnation: func() uint64 { return inc }, MinInterval: time.Second,
		Clock: func() time.Time { return reg.now },
		Region: func() []string {
			var out []string
			for oth, ali := range reg.live {
				if ali && oth != id {
					out = append(out, oth)
				}
			}
			return out
		},
	}
}

// talk lets one host see the stamp of another and pull what it wants.
func (reg *region) talk(one, two string) bool {
	lis, oth := reg.listers[one], reg.listers[two]
	if !lis.Wants(oth.Stamp(reg.now), reg.now) {
		return true
	}
	have := lis.Stamp(reg.now)
	for range 2 {
		ado, whole, _ := lis.Receive(oth.Offer(have, reg.now), reg.now)
		if ado {
			return true
		}
		if whole {
			have = nil
		}
	}
	return false
}

// second lets each live host look at the list and talk to the next one.
func (reg *region) second(t require.TestingT) {
	for ind, id := range reg.ids {
		if !reg.live[id] {
			continue
		}
		_, _ = reg.listers[id].Entries(context.Background())
		for off := 1; off < len(reg.ids); off *= 2 {
			if two := reg.ids[(ind+off)%len(reg.ids)]; reg.live[two] {
				require.True(t, reg.talk(id, two), "%s did not catch up with %s", id, two)
			}
		}
	}
	reg.now = reg.now.Add(time.Second)
}

func (reg *region) settled(t require.TestingT) {
	for id, ali := range reg.live {
		if !ali {
			continue
		}
		ents, err := reg.listers[id].Entries(context.Background())
		require.NoError(t, err)
		require.Equal(t, reg.entries, byID(ents), "host %s", id)
	}
}

// One host of a region reads the list, whatever the region's size, and in an
// outage no host loses it.
func TestOneHostReads(t *testing.T) {
	for _, num := range []int{4, 32} {
		reg := newRegion(num)
		reg.entries["engine"] = persister.Entry{ID: "engine"}
		for range 10 {
			reg.second(t)
		}
		reg.settled(t)
		reg.reads = 0
		for sec := range 60 {
			reg.entries["engine"] = persister.Entry{ID: "engine", Address: fmt.Sprint(sec / 10)}
			reg.second(t)
		}
		require.LessOrEqual(t, reg.reads, 65)
		reg.settled(t)
		reg.down = true
		for range 60 {
			reg.second(t)
		}
		for _, id := range reg.ids {
			require.Len(t, reg.listers[id].held.entries, 1)
		}
	}
}

// A long list is read less often.
func TestLongListIsReadRarely(t *testing.T) {
	reg := newRegion(1)
	for ind := range 2000 {
		reg.entries[fmt.Sprint(ind)] = persister.Entry{ID: fmt.Sprint(ind), Kind: persister.KindEngine, Address: "10.0.0.1:8000", DataCenter: "colombo"}
	}
	for range 300 {
		reg.second(t)
	}
	size := reg.listers["host-0"].held.size
	require.LessOrEqual(t, reg.reads*size/300, 2*bytesPerSecond)
}

// Hosts die, return, and the list changes, in any order: all live hosts end
// with the platform's list, and damaged offers are refused.
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
				reg.down = rapid.Bool().Draw(rt, "down")
			case "damage":
				reg.damage(rt, id)
			case "second":
				reg.second(rt)
			}
		}
		reg.down = false
		reg.start("host-0")
		for range 40 {
			reg.second(rt)
		}
		reg.settled(rt)
	})
}

// damage offers a host a list with one byte changed.
func (reg *region) damage(rt *rapid.T, id string) {
	oth := reg.listers[rapid.SampledFrom(reg.ids).Draw(rt, "other")]
	pus := oth.Offer(nil, reg.now)
	if len(pus.GetChanged()) == 0 {
		return
	}
	pus.Changed[rapid.IntRange(0, len(pus.Changed)-1).Draw(rt, "byte")] ^= 0x10
	before := reg.listers[id].held
	ado, _, _ := reg.listers[id].Receive(pus, reg.now)
	if ado {
		require.Equal(rt, byID(oth.held.entries), byID(reg.listers[id].held.entries))
		return
	}
	require.Equal(rt, before.entries, reg.listers[id].held.entries)
}

// An offer that decodes but is not the list that its source read is refused.
func TestDamagedOfferIsRefused(t *testing.T) {
	reg := newRegion(2)
	reg.second(t)
	red := Reader("host-0", []string{"host-1"})
	other := map[string]string{"host-0": "host-1", "host-1": "host-0"}[red]
	reg.entries["engine"] = persister.Entry{ID: "engine"}
	_, err := reg.listers[red].Entries(t.Context())
	require.NoError(t, err)
	pus := reg.listers[red].Offer(nil, reg.now)
	pus.Changed = encode([]persister.Entry{{ID: "another"}})
	ado, whole, err := reg.listers[other].Receive(pus, reg.now)
	require.ErrorIs(t, err, ErrMismatch)
	require.False(t, ado)
	require.True(t, whole)
}

func TestAdopts(t *testing.T) {
	held := Stamp{Source: "a", Incarnation: 2, Sequence: 5}
	tts := []struct {
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
		{"no reader", held, Stamp{Source: "c", Incarnation: 9, Sequence: 9}, "b", false},
	}
	for _, tt := range tts {
		require.Equal(t, tt.want, Adopts(tt.held, tt.offered, tt.reader), tt.name)
	}
}

func BenchmarkStamp(b *testing.B) {
	reg := newRegion(1)
	reg.second(b)
	lis := reg.listers["host-0"]
	for b.Loop() {
		_ = lis.Wants(&messenger.ListStamp{Source: "other", Sequence: 1}, reg.now)
	}
}
