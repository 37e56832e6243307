// Package publisher holds the tables in force on a host, accepts edits through
// the platform's store and keeps the tables the same on all hosts.
//
// A few hosts of each region watch the store. The others learn of a revision
// from peers, as a change against the revision before it where that is
// possible. A host only ever adopts a higher revision.
package publisher

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"hemlockpin/connection/persister"
	"hemlockpin/version/differ"
	"hemlockpin/version/matcher"
	"hemlockpin/version/parser"

	"github.com/rotisserie/eris"
)

const (
	// TablesPath is the object that holds the tables.
	TablesPath = "tables/current"
	// historyPath is the prefix of the objects that hold past revisions.
	historyPath = "tables/history/"
	// HistoryLength is the number of past revisions that are kept.
	HistoryLength = 1000
)

// Store is the part of the platform that the publisher needs.
type Store interface {
	Get(ctx context.Context, path string) (persister.Object, error)
	Put(ctx context.Context, obj persister.Object) (uint64, error)
	Delete(ctx context.Context, path string, version uint64) error
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]persister.Object, error)
}

// Publisher holds the tables in force. It needs a Store.
type Publisher struct {
	Store Store
	// Broadcast offers the tables in force to peers and returns how many were
	// asked and how many have that revision in force now; nil for no peers.
	Broadcast func(ctx context.Context) (asked, confirmed int)
	// OnAccept is called after a revision came into force that this host read
	// from the store, or that a peer offered; nil for nobody.
	OnAccept func(fromStore bool)

	current atomic.Pointer[version]
	// confirmed keeps the monotonic clock's reading, so that a step of the wall
	// clock makes no tables look fresh or old.
	confirmed atomic.Pointer[time.Time]

	mu   sync.Mutex
	seen stored
}

// stored is the newest version of the object that was read or written, and the
// revision that it holds.
type stored struct{ version, revision uint64 }

// version is one revision in force with the forms in which peers take it.
type version struct {
	mat      *matcher.Matcher
	document []byte
	checksum uint64
	// deltas lead to this revision step by step, the oldest first.
	deltas []differ.Delta

	once       sync.Once
	compressed []byte
}

// Current returns the tables in force. It is never nil.
func (pub *Publisher) Current() *matcher.Matcher {
	if ver := pub.current.Load(); ver != nil {
		return ver.mat
	}
	return matcher.New(parser.Tables{})
}

// Confirmed returns the last time at which the store, as far as this host knows
// directly or through peers, held no newer revision.
func (pub *Publisher) Confirmed() time.Time {
	if at := pub.confirmed.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Freshness returns the revision in force and how long ago it was confirmed.
func (pub *Publisher) Freshness(now time.Time) (revision uint64, age time.Duration) {
	return pub.Current().Revision(), max(0, now.Sub(pub.Confirmed()))
}

// Confirm notes that the store was seen to hold no newer revision.
func (pub *Publisher) Confirm(now time.Time) {
	for {
		old := pub.confirmed.Load()
		if old != nil && !now.After(*old) || pub.confirmed.CompareAndSwap(old, &now) {
			return
		}
	}
}

// ConfirmRevision notes that the store held a revision at a time. It counts only if
// that revision is in force here.
func (pub *Publisher) ConfirmRevision(revision uint64, at time.Time) {
	if revision == pub.Current().Revision() {
		pub.Confirm(at)
	}
}

// Adopts reports whether a host with one revision in force takes another.
func Adopts(have, offered uint64) bool { return offered > have }

// Accept puts tables in force if their revision is newer. It never goes back.
func (pub *Publisher) Accept(tab parser.Tables) (bool, error) {
	doc, err := tab.Encode()
	if err != nil {
		return false, err
	}
	return pub.accept(tab, doc, differ.Delta{}), nil
}

// accept puts tables in force. del, if it is not zero, is the verified change that
// leads to them from a revision.
func (pub *Publisher) accept(tab parser.Tables, doc []byte, del differ.Delta) bool {
	ver := &version{mat: matcher.New(tab), document: doc, checksum: differ.Checksum(doc)}
	for {
		old := pub.current.Load()
		if old != nil && !Adopts(old.mat.Revision(), tab.Revision) {
			return false
		}
		if old != nil && del.Revision == tab.Revision && del.BaseRevision == old.mat.Revision() {
			ver.deltas = appendDelta(old.deltas, del)
		} else {
			ver.deltas = deltasTo(old, ver)
		}
		if pub.current.CompareAndSwap(old, ver) {
			return true
		}
	}
}

func (pub *Publisher) announce(fromStore bool) {
	if pub.OnAccept != nil {
		pub.OnAccept(fromStore)
	}
}

// Refresh reads the store.
func (pub *Publisher) Refresh(ctx context.Context, now time.Time) error {
	obj, err := pub.Store.Get(ctx, TablesPath)
	if eris.Is(err, persister.ErrNotFound) {
		pub.ConfirmRevision(0, now)
		return nil
	}
	if err != nil {
		return err
	}
	return pub.take(obj, now)
}

// take adopts the tables of a stored object. An object older than what is in
// force is a lagging answer and confirms nothing.
func (pub *Publisher) take(obj persister.Object, now time.Time) error {
	tab, err := parser.Parse(obj.Value)
	if err != nil {
		return eris.Wrapf(err, "Publisher.take: object %s version %d", obj.Path, obj.Version)
	}
	pub.see(stored{obj.Version, tab.Revision})
	if pub.accept(tab, obj.Value, differ.Delta{}) {
		defer pub.announce(true)
	}
	pub.ConfirmRevision(tab.Revision, now)
	return nil
}

func (pub *Publisher) see(sto stored) {
	pub.mu.Lock()
	defer pub.mu.Unlock()
	if sto.version > pub.seen.version {
		pub.seen = sto
	}
}

func (pub *Publisher) lastSeen() stored {
	pub.mu.Lock()
	defer pub.mu.Unlock()
	return pub.seen
}
