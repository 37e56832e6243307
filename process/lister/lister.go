// Package lister keeps the platform's list of hosts and endpoints on every host,
// although only one host of each region reads it from the platform.
//
// That reader is chosen from the live hosts by rendezvous hashing and sends changes to
// its peers. The other hosts read from the platform only if they hold no list, or if
// their list has not been confirmed for a long time.
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
	// staleAfter is the age of the list from which a host no longer relies on the reader.
	staleAfter = 15 * time.Second
	// staleInterval is the time between the reads of a host whose list is stale.
	staleInterval = 5 * time.Second
	// maxReadRate bounds the mean traffic of reading a long list from the platform, in
	// bytes per second.
	maxReadRate = 10_000
	// maxChanges is the number of past snapshots of the list from which a host can send
	// the changes.
	maxChanges = 8
)

// Platform reads the list from the platform.
type Platform interface {
	Entries(ctx context.Context) ([]persister.Entry, error)
}

// Stamp identifies a snapshot of the list.
type Stamp struct {
	// Source is the host that read the list, Incarnation its process.
	Source      string
	Incarnation uint64
	// Sequence counts the lists that the source's process has read. Reading an unchanged
	// list again does not count.
	Sequence uint64
	// At is the last time at which the source read this list.
	At time.Time
}

// newer reports whether sta is a later snapshot of the same source than old.
func (sta Stamp) newer(old Stamp) bool {
	if sta.Incarnation != old.Incarnation {
		return sta.Incarnation > old.Incarnation
	}
	return sta.Sequence > old.Sequence
}

// Adopts reports whether a host that holds a snapshot adopts an offered one. A host adopts
// later snapshots of the source whose snapshot it holds, and any snapshot of the reader.
// It adopts a snapshot of another source only if it holds none.
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

// ReaderOf returns the host of a region that reads the list, chosen from self and the
// other live hosts.
func ReaderOf(self string, live []string) string {
	best, bestScore := self, score(self)
	for _, host := range live {
		if hostScore := score(host); hostScore > bestScore || (hostScore == bestScore && host < best) {
			best, bestScore = host, hostScore
		}
	}
	return best
}

func score(host string) uint64 { return xxhash.Sum64String("list\x00" + host) }

// Lister holds the list of one host. Fields are required unless they say otherwise.
type Lister struct {
	Platform Platform
	Self     string
	// Incarnation returns the incarnation of this host's process.
	Incarnation func() uint64
	// LivePeers returns the IDs of the live peers of the region.
	LivePeers func() []string
	// MinInterval is the interval at which the reader's Entries is expected to be called.
	// A read of a short list is due once half the interval has passed since the last read.
	MinInterval time.Duration
	// OnChange is called after this host has read a changed list; nil for none.
	OnChange func()
	// LastReadBytes returns the size of the last read; if nil, the size of the list is used.
	LastReadBytes func() int
	// Clock returns the current time.
	Clock func() time.Time

	// readMu is held during a read from the platform.
	readMu sync.Mutex

	mu sync.Mutex
	// lastRead is the slice that the platform's client returned last.
	lastRead []persister.Entry
	held     snapshot
	sequence uint64
	nextRead time.Time
}

// snapshot is an immutable list with its stamp. size is the length of the encoded entries
// in bytes.
type snapshot struct {
	stamp    Stamp
	entries  []persister.Entry
	checksum uint64
	size     int
	// changes lead to this snapshot step by step, oldest first.
	changes []change
}

// change is the difference between the snapshot with sequence base and the next snapshot.
type change struct {
	base    uint64
	changed map[string]persister.Entry
	removed map[string]bool
}

// Entries returns the list. It reads the platform if a read is due for this host.
func (lis *Lister) Entries(ctx context.Context) ([]persister.Entry, error) {
	now := lis.Clock()
	if !lis.startRead(now) {
		lis.mu.Lock()
		defer lis.mu.Unlock()
		return lis.held.entries, nil
	}
	lis.readMu.Lock()
	defer lis.readMu.Unlock()
	ents, err := lis.Platform.Entries(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "Lister.Entries")
	}
	changed := lis.adoptRead(ents, now)
	lis.scheduleNextRead(now)
	if changed && lis.OnChange != nil {
		lis.OnChange()
	}
	return ents, nil
}

// startRead reports whether this host must read from the platform now. If so, it also
// postpones the next read, unless the host holds no list.
func (lis *Lister) startRead(now time.Time) bool {
	isReader := ReaderOf(lis.Self, lis.LivePeers()) == lis.Self
	lis.mu.Lock()
	defer lis.mu.Unlock()
	switch {
	case lis.held.stamp.Source == "":
		return true
	case now.Before(lis.nextRead):
		return false
	case isReader:
		lis.nextRead = now.Add(lis.MinInterval / 2)
		return true
	case now.Sub(lis.held.stamp.At) < staleAfter:
		return false
	default:
		lis.nextRead = now.Add(staleInterval)
		return true
	}
}

// scheduleNextRead delays the next read in proportion to the size of the last one.
func (lis *Lister) scheduleNextRead(now time.Time) {
	lis.mu.Lock()
	defer lis.mu.Unlock()
	size := lis.held.size
	if lis.LastReadBytes != nil {
		size = lis.LastReadBytes()
	}
	lis.nextRead = now.Add(max(lis.MinInterval/2, time.Duration(size)*time.Second/maxReadRate))
}

// adoptRead replaces the held list with one that this host read itself, and reports
// whether the list changed. If this process also read the held list, and the two are
// equal, the held list is only confirmed.
func (lis *Lister) adoptRead(ents []persister.Entry, now time.Time) bool {
	if lis.confirmUnchanged(ents, now) {
		return false
	}
	ents = slices.Clone(ents)
	slices.SortFunc(ents, func(a, b persister.Entry) int { return strings.Compare(a.ID, b.ID) })
	sum, size := checksum(ents)
	lis.mu.Lock()
	defer lis.mu.Unlock()
	old := lis.held
	if lis.isOwn(old.stamp) && old.checksum == sum {
		lis.held.stamp.At = now
		return false
	}
	lis.sequence++
	next := snapshot{
		stamp:   Stamp{Source: lis.Self, Incarnation: lis.Incarnation(), Sequence: lis.sequence, At: now},
		entries: ents, checksum: sum, size: size,
	}
	if lis.isOwn(old.stamp) {
		cha := diff(old.entries, ents)
		cha.base = old.stamp.Sequence
		next.changes = append(slices.Clone(old.changes), cha)
		next.changes = next.changes[max(0, len(next.changes)-maxChanges):]
	}
	lis.held = next
	return true
}

// confirmUnchanged confirms the list if the client returned the same slice as last time,
// which shows without comparing entries that nothing has changed.
func (lis *Lister) confirmUnchanged(ents []persister.Entry, now time.Time) bool {
	lis.mu.Lock()
	defer lis.mu.Unlock()
	last := lis.lastRead
	lis.lastRead = ents
	if len(ents) == 0 || len(last) != len(ents) || &last[0] != &ents[0] || !lis.isOwn(lis.held.stamp) {
		return false
	}
	lis.held.stamp.At = now
	return true
}

// isOwn reports whether this process read the list with a stamp under its current
// incarnation.
func (lis *Lister) isOwn(sta Stamp) bool {
	return sta.Source == lis.Self && sta.Incarnation == lis.Incarnation()
}

// checksum returns the checksum of the encoded entries and their length in bytes.
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

func diff(old, next []persister.Entry) change {
	cha := change{changed: map[string]persister.Entry{}, removed: map[string]bool{}}
	previous := byID(old)
	for _, ent := range next {
		before, ok := previous[ent.ID]
		if !ok || !equalEntries(before, ent) {
			cha.changed[ent.ID] = ent
		}
		delete(previous, ent.ID)
	}
	for id := range previous {
		cha.removed[id] = true
	}
	return cha
}

func equalEntries(a, b persister.Entry) bool {
	return a.Kind == b.Kind && a.Service == b.Service && a.Address == b.Address && a.DataCenter == b.DataCenter &&
		a.Region == b.Region && a.Leaving == b.Leaving && slices.Equal(a.Models, b.Models)
}

// compose returns the change that has the effect of cha followed by next.
func (cha change) compose(next change) change {
	out := change{base: cha.base, changed: maps.Clone(cha.changed), removed: maps.Clone(cha.removed)}
	for id, ent := range next.changed {
		out.changed[id] = ent
		delete(out.removed, id)
	}
	for id := range next.removed {
		delete(out.changed, id)
		out.removed[id] = true
	}
	return out
}

// apply returns the entries after a change, ordered by ID.
func (cha change) apply(ents []persister.Entry) []persister.Entry {
	all := byID(ents)
	for id := range cha.removed {
		delete(all, id)
	}
	maps.Copy(all, cha.changed)
	return slices.SortedFunc(maps.Values(all), func(a, b persister.Entry) int { return strings.Compare(a.ID, b.ID) })
}

// StampMessage returns the stamp of the list that this host holds, for probes; nil for none.
func (lis *Lister) StampMessage(now time.Time) *messenger.ListStamp {
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

func stampFromMessage(msg *messenger.ListStamp, now time.Time) Stamp {
	return Stamp{
		Source: msg.GetSource(), Incarnation: msg.GetIncarnation(), Sequence: msg.GetSequence(),
		At: now.Add(-messenger.Age(msg.GetAgeMs())),
	}
}
