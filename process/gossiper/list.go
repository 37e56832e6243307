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
	return gos.Lister.Stamp(now)
}

func (gos *Gossiper) wantsList(sta *messenger.ListStamp, now time.Time) bool {
	return gos.Lister != nil && gos.Lister.Wants(sta, now)
}

// pullList asks a peer for its reading of the platform's list.
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

// receiveList takes an offer and reports whether the whole list is needed.
func (gos *Gossiper) receiveList(ctx context.Context, pus *messenger.ListPush) bool {
	if gos.Lister == nil {
		return false
	}
	ado, whole, err := gos.Lister.Receive(pus, time.Now())
	if err != nil {
		gos.count("list_offers_refused", nil)
	}
	if ado {
		if gos.ListChanged != nil {
			gos.ListChanged()
		}
		go gos.PushList(context.WithoutCancel(ctx))
	}
	return whole
}

// PushList offers the platform's list to a bounded number of peers of the
// region, which forward it.
func (gos *Gossiper) PushList(ctx context.Context) {
	if gos.Lister == nil {
		return
	}
	var gro sync.WaitGroup
	for _, per := range gos.fan(false) {
		gro.Go(func() { gos.pushListTo(ctx, per) })
	}
	gro.Wait()
}

// pushListTo offers what has changed first, and what the peer lacks after that.
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

// HandleListPush takes a reading of the list that a peer offers. The reply asks
// for the whole list where the offer did not suffice.
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

// HandleListPull answers with what the peer lacks.
func (gos *Gossiper) HandleListPull(pul *messenger.ListPull, now time.Time) *messenger.Envelope {
	pus := &messenger.ListPush{}
	if gos.Lister != nil {
		pus = gos.Lister.Offer(pul.GetHave(), now)
	}
	return &messenger.Envelope{Body: &messenger.Envelope_ListPush{ListPush: pus}}
}
