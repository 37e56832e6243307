package gossiper

import (
	"context"
	"sync"
	"time"

	"hemlockpin/connection/messenger"
)

func (gos *Gossiper) listStamp(now time.Time) *messenger.ListStamp {
	if gos.Lister == nil {
		return nil
	}
	return gos.Lister.StampMessage(now)
}

func (gos *Gossiper) observeStamp(sta *messenger.ListStamp, now time.Time) bool {
	return gos.Lister != nil && gos.Lister.ObserveStamp(sta, now)
}

// pullList pulls the changes of the platform's list from a peer, and then the full list if
// this host needs it.
func (gos *Gossiper) pullList(ctx context.Context, address string) {
	have := gos.listStamp(time.Now())
	for range 2 {
		rep, err := gos.call(ctx, syncTimeout, address, &messenger.Envelope{Body: &messenger.Envelope_ListPull{ListPull: &messenger.ListPull{Have: have}}})
		if err != nil || !gos.receiveList(ctx, rep.GetListPush()) {
			return
		}
		have = nil
	}
}

// receiveList merges an offer and forwards an adopted list to peers. It reports whether the
// peer must send more: the changes since the held list or the full list.
func (gos *Gossiper) receiveList(ctx context.Context, pus *messenger.ListPush) bool {
	if gos.Lister == nil {
		return false
	}
	adopted, wantMore, err := gos.Lister.Receive(pus, time.Now())
	if err != nil {
		gos.count("list_offers_refused", nil)
	}
	if adopted {
		if gos.OnListAdopted != nil {
			gos.OnListAdopted()
		}
		go gos.PushList(context.WithoutCancel(ctx))
	}
	return wantMore
}

// PushList offers the platform's list to a bounded number of peers of this
// region, which forward it.
func (gos *Gossiper) PushList(ctx context.Context) {
	if gos.Lister == nil {
		return
	}
	var gro sync.WaitGroup
	for _, per := range gos.broadcastTargets(false) {
		gro.Go(func() { gos.pushListTo(ctx, per) })
	}
	gro.Wait()
}

// pushListTo offers the latest change first, then whatever the peer reports as missing.
func (gos *Gossiper) pushListTo(ctx context.Context, per Peer) {
	pus := gos.Lister.Announce(time.Now())
	for range 2 {
		rep, err := gos.call(ctx, syncTimeout, per.Address, &messenger.Envelope{Body: &messenger.Envelope_ListPush{ListPush: pus}})
		if err != nil || rep.GetListPull() == nil {
			return
		}
		pus = gos.Lister.Offer(rep.GetListPull().GetHave(), time.Now())
	}
}

// HandleListPush merges a peer's offer of the list. If the offer was not sufficient, the
// reply requests more: the changes since the held list if the offer held only a stamp, else
// the full list.
func (gos *Gossiper) HandleListPush(ctx context.Context, pus *messenger.ListPush, now time.Time) *messenger.Envelope {
	if gos.receiveList(ctx, pus) {
		pul := &messenger.ListPull{}
		if len(pus.GetChanged()) == 0 {
			pul.Have = gos.listStamp(now)
		}
		return &messenger.Envelope{Body: &messenger.Envelope_ListPull{ListPull: pul}}
	}
	return &messenger.Envelope{Body: &messenger.Envelope_Done{Done: &messenger.Done{}}}
}

// HandleListPull returns the part of the list that the peer lacks.
func (gos *Gossiper) HandleListPull(pul *messenger.ListPull, now time.Time) *messenger.Envelope {
	pus := &messenger.ListPush{}
	if gos.Lister != nil {
		pus = gos.Lister.Offer(pul.GetHave(), now)
	}
	return &messenger.Envelope{Body: &messenger.Envelope_ListPush{ListPush: pus}}
}
