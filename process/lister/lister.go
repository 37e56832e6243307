// Package lister keeps the platform's list of hosts and endpoints on every host
// although only one host of each region reads it.
//
// The reader is chosen from the live hosts by rendezvous hashing. It passes on
// what has changed; the others take it from peers and read the platform only
// when they hold no list, or one that nobody has confirmed for long.
package lister

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/connection/persister"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

const (
	// staleAfter is the age from which a host no longer relies on the reader.
	staleAfter = 15 * time.Second
	// staleInterval is the time between the reads of a host that can't rely on
	// the reader.
	staleInterval = 5 * time.Second
	// bytesPerSecond bounds the mean traffic of reading a long list.
	bytesPerSecond = 10_000
	// keptChanges is the number of steps back for which a difference is known.
	keptChanges = 8
)

// Platform reads the list.
type Platform interface {
	Entries(ctx context.Context) ([]persister.Entry, error)
}

// Stamp identifies a reading of the list.
type Stamp struct {
	// Source is the host that read it, Incarnation its process.
	Source      string
	Incarnation uint64
	// Sequence counts the changes that the source saw.
	Sequence uint64
	// At is when the source last found the list to be so.
	At time.Time
}

// newer reports whether sta is a later reading of the same source.
func (sta Stamp) newer(old Stamp) bool {
	if sta.Incarnation != old.Incarnation {
		return sta.Incarnation > old.Incarnation
	}
	return sta.Sequence > old.Sequence
}

// Adopts reports whether a host that holds one reading takes another. It follows
// the reader; a reading of another source serves until the reader's is known.
func Adopts(held, offered Stamp, reader string) bool {
	switch {
	case offered.Source == held.Source:
		return offered.newer(held)
	case held.Source == "":
		return true
	default:
		return offered.Source == reader
	}
}

// Reader returns the host that reads the list for a region, of self and the
// other live hosts.
func Reader(self string, live []string) string {
	bes, top := self, score(self)
	for _, hos := range live {
		if sco := score(hos); sco > top || (sco == top && hos < bes) {
			bes, top = hos, sco
		}
	}
	return bes
}

func score(host string) uint64 { return xxhash.Sum64String("list\x00" + host) }

// Lister holds the list of one host. It needs the exported fields.
type Lister struct {
	Platform Platform
	Self     string
	// Incarnation returns that of this host's process.
	Incarnation func() uint64
	// Region returns the IDs of the live peers of the region.
	Region func() []string
	// MinInterval is the shortest time between two reads of the reader.
	MinInterval time.Duration
	// OnChange is called when a new reading came into force; nil for nobody.
	OnChange func()
	// LastReadBytes returns the bytes that the last read took; nil counts the whole list.
	LastReadBytes func() int
	// Clock returns the present time.
	Clock func() time.Time

	// reading is held during a read of the platform.
	reading sync.Mutex

	mu sync.Mutex
	// raw is the last reading as the platform's client returned it.
	raw   []persister.Entry
	held  reading
	reads uint64
	next  time.Time
}

// reading is an immutable list with its stamp.
type reading struct {
	stamp    Stamp
	entries  []persister.Entry
	checksum uint64
	size     int
	// changes lead to this reading, the oldest first.
	changes []change
}

// change leads from the reading of one sequence to the next.
type change struct {
	base    uint64
	changed map[string]persister.Entry
	removed map[string]bool
}

// Entries returns the list. It reads the platform if that is due for this host.
func (lis *Lister) Entries(ctx context.Context) ([]persister.Entry, error) {
	now := lis.Clock()
	if !lis.due(now) {
		lis.mu.Lock()
		defer lis.mu.Unlock()
		return lis.held.entries, nil
	}
	lis.reading.Lock()
	defer lis.reading.Unlock()
	ents, err := lis.Platform.Entries(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "Lister.Entries")
	}
	cha := lis.install(ents, now)
	lis.pace(now)
	if cha && lis.OnChange != nil {
		lis.OnChange()
	}
	return ents, nil
}

// due reports whether this host has to read the platform now.
func (lis *Lister) due(now time.Time) bool {
	red := Reader(lis.Self, lis.Region()) == lis.Self
	lis.mu.Lock()
	defer lis.mu.Unlock()
	switch {
	case lis.held.stamp.Source == "":
		return true
	case now.Before(lis.next):
		return false
	case red:
		lis.next = now.Add(lis.MinInterval / 2)
		return true
	case now.Sub(lis.held.stamp.At) < staleAfter:
		return false
	default:
		lis.next = now.Add(staleInterval)
		return true
	}
}

// pace puts the next read off by what the last one took.
func (lis *Lister) pace(now time.Time) {
	lis.mu.Lock()
	defer lis.mu.Unlock()
	cos := lis.held.size
	if lis.LastReadBytes != nil {
		cos = lis.LastReadBytes()
	}
	lis.next = now.Add(max(lis.MinInterval/2, time.Duration(cos)*time.Second/bytesPerSecond))
}

// install takes this host's own reading and reports whether it changed.
func (lis *Lister) install(ents []persister.Entry, now time.Time) bool {
	if lis.confirm(ents, now) {
		return false
	}
	ents = slices.Clone(ents)
	slices.SortFunc(ents, func(one, two persister.Entry) int { return strings.Compare(one.ID, two.ID) })
	sum, size := checksum(ents)
	lis.mu.Lock()
	defer lis.mu.Unlock()
	old := lis.held
	if lis.own(old.stamp) && old.checksum == sum {
		lis.held.stamp.At = now
		return false
	}
	lis.reads++
	nex := reading{
		stamp:   Stamp{Source: lis.Self, Incarnation: lis.Incarnation(), Sequence: lis.reads, At: now},
		entries: ents, checksum: sum, size: size,
	}
	if lis.own(old.stamp) {
		cha := diff(old.entries, ents)
		cha.base = old.stamp.Sequence
		nex.changes = append(slices.Clone(old.changes), cha)
		nex.changes = nex.changes[max(0, len(nex.changes)-keptChanges):]
	}
	lis.held = nex
	return true
}

// confirm notes a reading that is the very slice of the last one, which tells
// without a look at the entries that nothing has changed.
func (lis *Lister) confirm(ents []persister.Entry, now time.Time) bool {
	lis.mu.Lock()
	defer lis.mu.Unlock()
	las := lis.raw
	lis.raw = ents
	if len(ents) == 0 || len(las) != len(ents) || &las[0] != &ents[0] || !lis.own(lis.held.stamp) {
		return false
	}
	lis.held.stamp.At = now
	return true
}

// own reports whether this process took the reading under its present
// incarnation.
func (lis *Lister) own(sta Stamp) bool {
	return sta.Source == lis.Self && sta.Incarnation == lis.Incarnation()
}

func checksum(ents []persister.Entry) (uint64, int) {
	buf, _ := json.Marshal(ents)
	return xxhash.Sum64(buf), len(buf)
}

func byID(ents []persister.Entry) map[string]persister.Entry {
	out := make(map[string]persister.Entry, len(ents))
	for _, ent := range ents {
		out[ent.ID] = ent
	}
	return out
}

func diff(old, nex []persister.Entry) change {
	cha := change{changed: map[string]persister.Entry{}, removed: map[string]bool{}}
	was := byID(old)
	for _, ent := range nex {
		bef, ok := was[ent.ID]
		if !ok || !same(bef, ent) {
			cha.changed[ent.ID] = ent
		}
		delete(was, ent.ID)
	}
	for id := range was {
		cha.removed[id] = true
	}
	return cha
}

func same(one, two persister.Entry) bool {
	return one.Kind == two.Kind && one.Service == two.Service && one.Address == two.Address && one.DataCenter == two.DataCenter &&
		one.Region == two.Region && one.Leaving == two.Leaving && slices.Equal(one.Models, two.Models)
}

// then joins a change with the one that follows it.
func (cha change) then(nex change) change {
	out := change{base: cha.base, changed: maps.Clone(cha.changed), removed: maps.Clone(cha.removed)}
	for id, ent := range nex.changed {
		out.changed[id] = ent
		delete(out.removed, id)
	}
	for id := range nex.removed {
		delete(out.changed, id)
		out.removed[id] = true
	}
	return out
}

// apply returns the entries after a change, by ID.
func (cha change) apply(ents []persister.Entry) []persister.Entry {
	all := byID(ents)
	for id := range cha.removed {
		delete(all, id)
	}
	maps.Copy(all, cha.changed)
	return slices.SortedFunc(maps.Values(all), func(one, two persister.Entry) int { return strings.Compare(one.ID, two.ID) })
}

// Stamp returns the stamp of the list held, for probes.
func (lis *Lister) Stamp(now time.Time) *messenger.ListStamp {
	lis.mu.Lock()
	defer lis.mu.Unlock()
	return lis.held.stamp.message(now)
}

func (sta Stamp) message(now time.Time) *messenger.ListStamp {
	if sta.Source == "" {
		return nil
	}
	return &messenger.ListStamp{Source: sta.Source, Incarnation: sta.Incarnation, Sequence: sta.Sequence, AgeMs: max(0, now.Sub(sta.At).Milliseconds())}
}

func stampOf(mes *messenger.ListStamp, now time.Time) Stamp {
	return Stamp{
		Source: mes.GetSource(), Incarnation: mes.GetIncarnation(), Sequence: mes.GetSequence(),
		At: now.Add(-time.Duration(max(0, mes.GetAgeMs())) * time.Millisecond),
	}
}
