package gossiper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"hemlockpin/connection/messenger"
)

// PullTables pulls the newest tables that a peer has.
func (gos *Gossiper) PullTables(ctx context.Context, address string) {
	for _, full := range []bool{false, true} {
		rep, err := gos.call(ctx, syncTimeout, address, &messenger.Envelope{Body: &messenger.Envelope_TablesPull{TablesPull: &messenger.TablesPull{
			HaveRevision: gos.Publisher.Current().Revision(), Whole: full,
		}}})
		if err != nil {
			return
		}
		ack, err := gos.Publisher.Receive(rep.GetTablesPush())
		if err != nil || !ack.GetWantWhole() {
			return
		}
	}
}

// pullAndConfirm pulls tables from a peer that reports a newer revision, and confirms them
// as of the time at which the store held that revision as its newest. ConfirmRevision alone
// would never confirm the tables while they change continuously: peers always report a later
// revision than the one that this host has in force, and ConfirmRevision ignores others.
func (gos *Gossiper) pullAndConfirm(ctx context.Context, address string, revision uint64, at time.Time) {
	gos.PullTables(ctx, address)
	if gos.Publisher.Current().Revision() >= revision {
		gos.Publisher.Confirm(at)
	}
}

// HandleTablesPull returns the tables if they are newer than the peer's.
func (gos *Gossiper) HandleTablesPull(pul *messenger.TablesPull) *messenger.Envelope {
	pus := gos.Publisher.Offer(pul.GetHaveRevision(), pul.GetWhole())
	if pus.GetRevision() <= pul.GetHaveRevision() {
		pus = &messenger.TablesPush{Revision: pus.GetRevision()}
	}
	return &messenger.Envelope{Body: &messenger.Envelope_TablesPush{TablesPush: pus}}
}

// HandleTablesPush merges tables that a peer pushed.
func (gos *Gossiper) HandleTablesPush(pus *messenger.TablesPush) *messenger.Envelope {
	ack, err := gos.Publisher.Receive(pus)
	if err != nil {
		return messenger.NewFailure("bad_tables", err.Error())
	}
	return &messenger.Envelope{Body: &messenger.Envelope_TablesAck{TablesAck: ack}}
}

// PushTables offers the tables in force to a bounded number of peers, which forward
// them. crossRegion adds one peer of each other region. It returns to how many peers it
// offered the tables, and how many of them now have that revision or a newer one in force.
func (gos *Gossiper) PushTables(ctx context.Context, crossRegion bool) (offered, adopted int) {
	pers := gos.broadcastTargets(crossRegion)
	rev := gos.Publisher.Current().Revision()
	var count atomic.Int64
	var gro sync.WaitGroup
	for _, per := range pers {
		gro.Go(func() {
			if gos.pushTablesTo(ctx, per, rev) {
				count.Add(1)
			}
		})
	}
	gro.Wait()
	return len(pers), int(count.Load())
}

// pushTablesTo sends the latest delta, then what the peer lacks: the deltas since its
// revision or the full document. It stops when the peer has rev in force, and reports
// whether it has.
func (gos *Gossiper) pushTablesTo(ctx context.Context, per Peer, rev uint64) bool {
	pus := gos.Publisher.Announce()
	for range 3 {
		rep, err := gos.call(ctx, syncTimeout, per.Address, &messenger.Envelope{Body: &messenger.Envelope_TablesPush{TablesPush: pus}})
		if err != nil {
			return false
		}
		ack := rep.GetTablesAck()
		if ack.GetRevision() >= rev {
			return true
		}
		pus = gos.Publisher.Offer(ack.GetRevision(), ack.GetWantWhole())
	}
	return false
}
