// Package publisher holds the tables in force on a host, accepts edits through
// the platform's store and keeps the tables identical on all hosts.
//
// A few hosts of each region watch the store. The other hosts receive a new revision
// from peers, as a delta against the previous revision where possible. A host only
// adopts higher revisions.
package publisher

import (
	"context"
	"math"
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
	// TablesPath is the path of the object that holds the tables.
	TablesPath = "tables/current"
	// historyPath is the prefix of the objects that hold past revisions.
	historyPath = "tables/history/"
	// HistoryLength is the number of past revisions that are stored.
	HistoryLength = 1000
)

// Store is the part of the platform's store that the publisher needs.
type Store interface {
	Get(ctx context.Context, path string) (persister.Object, error)
	Put(ctx context.Context, obj persister.Object) (uint64, error)
	Delete(ctx context.Context, path string, version uint64) error
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]persister.Object, error)
}

// Publisher holds the tables in force. It needs a Store.
type Publisher struct {
	Store Store
	// Broadcast offers the tables in force to peers. It returns to how many peers it
	// offered them, and how many of these now have that revision or a newer one in force.
	// Nil for no peers.
	Broadcast func(ctx context.Context) (offered, adopted int)
	// OnAdopt is called after a revision that this host read from the store, or
	// that a peer offered, came into force; nil for none.
	OnAdopt func(fromStore bool)

	current atomic.Pointer[encodedTables]
	// confirmed includes the monotonic clock reading, so that a step of the wall
	// clock does not change the age of the tables.
	confirmed atomic.Pointer[time.Time]

	mu sync.Mutex
	// lastSeen is the newest version of the object that this host read or wrote.
	lastSeen objectVersion
}

// objectVersion is a version of the object in the store and the revision of the tables that
// it holds.
type objectVersion struct{ version, revision uint64 }

// encodedTables holds a revision of the tables with the encoded forms that are sent to
// peers.
type encodedTables struct {
	matcher  *matcher.Matcher
	document []byte
	checksum uint64
	// deltas lead to this revision step by step, oldest first.
	deltas []differ.Delta

	once       sync.Once
	compressed []byte
}

// Current returns the tables in force. It is never nil.
func (pub *Publisher) Current() *matcher.Matcher {
	if enc := pub.current.Load(); enc != nil {
		return enc.matcher
	}
	return matcher.New(parser.Tables{})
}

// Confirmed returns the last time at which the store held no newer revision, as far
// as this host knows directly or through peers.
func (pub *Publisher) Confirmed() time.Time {
	if at := pub.confirmed.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Freshness returns the revision in force and the time since it was confirmed.
func (pub *Publisher) Freshness(now time.Time) (revision uint64, age time.Duration) {
	return pub.Current().Revision(), max(0, now.Sub(pub.Confirmed()))
}

// Confirm records that, at the time at, the store held no newer revision than the one in
// force.
func (pub *Publisher) Confirm(at time.Time) {
	for {
		old := pub.confirmed.Load()
		if old != nil && !at.After(*old) || pub.confirmed.CompareAndSwap(old, &at) {
			return
		}
	}
}

// ConfirmRevision records that revision was the store's newest at the time at. It has an
// effect only if that revision is in force on this host.
func (pub *Publisher) ConfirmRevision(revision uint64, at time.Time) {
	if revision == pub.Current().Revision() {
		pub.Confirm(at)
	}
}

// maxRevision bounds the revisions that are adopted. One above it could not be exceeded.
const maxRevision = math.MaxInt64

// Adopts reports whether a host that has one revision in force adopts the offered one.
func Adopts(have, offered uint64) bool { return offered > have && offered <= maxRevision }

// Adopt puts tables in force if their revision is higher than the one in force, and reports
// whether it did.
func (pub *Publisher) Adopt(tab parser.Tables) (bool, error) {
	doc, err := tab.Encode()
	if err != nil {
		return false, err
	}
	return pub.adoptTables(tab, doc, differ.Delta{}), nil
}

// adoptTables puts tables in force if their revision is higher than the one in force, and
// reports whether it did. del, if not zero, is the verified delta that leads to the tables
// from its base revision.
func (pub *Publisher) adoptTables(tab parser.Tables, doc []byte, del differ.Delta) bool {
	enc := &encodedTables{matcher: matcher.New(tab), document: doc, checksum: differ.Checksum(doc)}
	for {
		old := pub.current.Load()
		if tab.Revision > maxRevision || old != nil && !Adopts(old.matcher.Revision(), tab.Revision) {
			return false
		}
		if old != nil && del.Revision == tab.Revision && del.BaseRevision == old.matcher.Revision() {
			enc.deltas = appendDelta(old.deltas, del)
		} else {
			enc.deltas = deltasTo(old, enc)
		}
		if pub.current.CompareAndSwap(old, enc) {
			return true
		}
	}
}

func (pub *Publisher) notifyAdopted(fromStore bool) {
	if pub.OnAdopt != nil {
		pub.OnAdopt(fromStore)
	}
}

// Refresh reads the tables from the store and adopts them if they are newer.
func (pub *Publisher) Refresh(ctx context.Context, now time.Time) error {
	obj, err := pub.Store.Get(ctx, TablesPath)
	if eris.Is(err, persister.ErrNotFound) {
		pub.ConfirmRevision(0, now)
		return nil
	}
	if err != nil {
		return err
	}
	return pub.adoptObject(obj, now)
}

// adoptObject adopts the tables of a stored object. An object older than the tables in
// force comes from a lagging store and confirms nothing.
func (pub *Publisher) adoptObject(obj persister.Object, now time.Time) error {
	tab, err := parser.Parse(obj.Value)
	if err != nil {
		return eris.Wrapf(err, "Publisher.adopt: object %s version %d", obj.Path, obj.Version)
	}
	pub.recordVersion(objectVersion{obj.Version, tab.Revision})
	if pub.adoptTables(tab, obj.Value, differ.Delta{}) {
		defer pub.notifyAdopted(true)
	}
	pub.ConfirmRevision(tab.Revision, now)
	return nil
}

func (pub *Publisher) recordVersion(ver objectVersion) {
	pub.mu.Lock()
	defer pub.mu.Unlock()
	if ver.version > pub.lastSeen.version {
		pub.lastSeen = ver
	}
}

func (pub *Publisher) lastSeenVersion() objectVersion {
	pub.mu.Lock()
	defer pub.mu.Unlock()
	return pub.lastSeen
}
