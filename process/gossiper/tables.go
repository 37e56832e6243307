package gossiper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"hemlockpin/connection/messenger"
)

// PullTables asks a host for the newest tables that it knows.
func (gos *Gossiper) PullTables(ctx context.Context, address string) {
	for _, whole := range []bool{false, true} {
		rep, err := gos.call(ctx, syncTimeout, address, &messenger.Envelope{Body: &messenger.Envelope_TablesPull{TablesPull: &messenger.TablesPull{
			HaveRevision: gos.Publisher.Current().Revision(), Whole: whole,
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

// pullConfirmed pulls the tables of a peer that has a newer revision, which the store held
// as its newest at a time. While tables change all the time, a host never hears of the
// revision that it has.
func (gos *Gossiper) pullConfirmed(ctx context.Context, address string, revision uint64, at time.Time) {
	gos.PullTables(ctx, address)
	if gos.Publisher.Current().Revision() >= revision {
		gos.Publisher.Confirm(at)
	}
}

// HandleTablesPull answers with what the peer lacks.
func (gos *Gossiper) HandleTablesPull(pul *messenger.TablesPull) *messenger.Envelope {
	pus := gos.Publisher.Offer(pul.GetHaveRevision(), pul.GetWhole())
	if pus.GetRevision() <= pul.GetHaveRevision() {
		pus = &messenger.TablesPush{Revision: pus.GetRevision()}
	}
	return &messenger.Envelope{Body: &messenger.Envelope_TablesPush{TablesPush: pus}}
}

// HandleTablesPush takes tables that a peer offers.
func (gos *Gossiper) HandleTablesPush(pus *messenger.TablesPush) *messenger.Envelope {
	ack, err := gos.Publisher.Receive(pus)
	if err != nil {
		return messenger.NewFailure("bad_tables", err.Error())
	}
	return &messenger.Envelope{Body: &messenger.Envelope_TablesAck{TablesAck: ack}}
}

// PushTables offers the tables in force to a bounded number of peers, which
// forward them. cross adds peers of other regions. It returns how many were asked and how many have that revision
// or a newer one in force now.
func (gos *Gossiper) PushTables(ctx context.Context, cross bool) (asked, confirmed int) {
	pers := gos.fan(cross)
	rev := gos.Publisher.Current().Revision()
	var num atomic.Int64
	var gro sync.WaitGroup
	for _, per := range pers {
		gro.Go(func() {
			if gos.pushOne(ctx, per, rev) {
				num.Add(1)
			}
		})
	}
	gro.Wait()
	return len(pers), int(num.Load())
}

// pushOne offers a change first, and what the peer lacks after that.
func (gos *Gossiper) pushOne(ctx context.Context, per Peer, rev uint64) bool {
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
