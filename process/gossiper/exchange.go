package gossiper

import (
	"context"
	"slices"
	"sync"
	"time"

	"hemlockpin/connection/messenger"
)

// ping builds the probe of a peer.
func (gos *Gossiper) ping(target string) *messenger.Envelope {
	now := time.Now()
	upds, self, reg := gos.updates(target)
	rev, age := gos.Publisher.Current().Revision(), gos.aged(gos.Publisher.Confirmed(), now)
	end, endAge := gos.endpoints(now)
	return &messenger.Envelope{Body: &messenger.Envelope_Ping{Ping: &messenger.Ping{
		From: self, Target: target, Updates: upds, TablesRevision: rev, TablesAgeMs: age.Milliseconds(),
		Notices: gos.notices(now), List: gos.listStamp(now), Cells: gos.cells(reg, now), Retries: gos.retries(now),
		EndpointsRevision: end, EndpointsAgeMs: endAge.Milliseconds(),
	}}}
}

func (gos *Gossiper) pong(target string) *messenger.Envelope {
	now := time.Now()
	upds, self, reg := gos.updates(target)
	rev, age := gos.Publisher.Current().Revision(), gos.aged(gos.Publisher.Confirmed(), now)
	end, endAge := gos.endpoints(now)
	return &messenger.Envelope{Body: &messenger.Envelope_Pong{Pong: &messenger.Pong{
		From: self, Updates: upds, TablesRevision: rev, TablesAgeMs: age.Milliseconds(),
		Notices: gos.notices(now), List: gos.listStamp(now), Cells: gos.cells(reg, now), Retries: gos.retries(now),
		EndpointsRevision: end, EndpointsAgeMs: endAge.Milliseconds(),
	}}}
}

// updates returns the changes of membership for a peer, this host and the
// peer's region.
func (gos *Gossiper) updates(target string) ([]*messenger.Member, *messenger.Member, string) {
	gos.mu.Lock()
	defer gos.mu.Unlock()
	ros := gos.state()
	reg := ""
	if mem := ros.members[target]; mem != nil {
		reg = mem.Region
	}
	return membersOf(ros.Updates(target)), ros.Self.Member(), reg
}

// aged is the age that peers are told of something that was true at a time.
func (gos *Gossiper) aged(at, now time.Time) time.Duration {
	if gos.AgeOf != nil {
		return gos.AgeOf(at, now)
	}
	return max(0, now.Sub(at))
}

func (gos *Gossiper) cells(region string, now time.Time) []*messenger.CellDigest {
	if gos.Payload.Cells == nil {
		return nil
	}
	return gos.Payload.Cells(region, now)
}

func (gos *Gossiper) takeCells(digs []*messenger.CellDigest, now time.Time) {
	if gos.Payload.MergeCells != nil {
		gos.Payload.MergeCells(digs, now)
	}
}

func (gos *Gossiper) retries(now time.Time) *messenger.RetryBudget {
	if gos.Payload.Retries == nil {
		return nil
	}
	return gos.Payload.Retries(now)
}

func (gos *Gossiper) takeRetries(host string, ret *messenger.RetryBudget, now time.Time) {
	if gos.Payload.MergeRetries != nil && ret != nil {
		gos.Payload.MergeRetries(host, ret, now)
	}
}

func (gos *Gossiper) endpoints(now time.Time) (revision uint64, age time.Duration) {
	if gos.Payload.Endpoints == nil {
		return 0, 0
	}
	return gos.Payload.Endpoints(now)
}

func (gos *Gossiper) seeEndpoints(address string, revision uint64, ageMs int64, now time.Time) {
	if gos.Payload.ObserveEndpoints != nil && address != "" && revision > 0 {
		gos.Payload.ObserveEndpoints(address, revision, now.Add(-time.Duration(ageMs)*time.Millisecond))
	}
}

// Broadcast sends a message to the peers to which news goes at once.
func (gos *Gossiper) Broadcast(ctx context.Context, env func() *messenger.Envelope) {
	var gro sync.WaitGroup
	for _, per := range gos.fan(true) {
		gro.Go(func() {
			if _, err := gos.call(ctx, probeTimeout, per.Address, env()); err != nil {
				gos.count("spreads_failed", nil)
			}
		})
	}
	gro.Wait()
}

func (gos *Gossiper) notices(now time.Time) []*messenger.EndpointNotice {
	if gos.Payload.Notices == nil {
		return nil
	}
	return gos.Payload.Notices(now)
}

// HandlePing answers a probe.
func (gos *Gossiper) HandlePing(ctx context.Context, pin *messenger.Ping, now time.Time) *messenger.Envelope {
	fro, ok := PeerOf(pin.GetFrom())
	if !ok || pin.GetTarget() != gos.Self.GetId() {
		return messenger.NewFailure("wrong_target", "the probe is not for this host")
	}
	fro.TablesRevision = pin.GetTablesRevision()
	gos.step(ctx, Received{From: fro, Updates: peersOf(pin.GetUpdates())}, now)
	gos.takeCargo(ctx, pin.GetNotices(), now)
	gos.takeCells(pin.GetCells(), now)
	gos.takeRetries(pin.GetFrom().GetId(), pin.GetRetries(), now)
	gos.seeEndpoints(gos.address(fro), pin.GetEndpointsRevision(), pin.GetEndpointsAgeMs(), now)
	at := now.Add(-time.Duration(pin.GetTablesAgeMs()) * time.Millisecond)
	gos.Publisher.ConfirmRevision(pin.GetTablesRevision(), at)
	if gos.wantsList(pin.GetList(), now) {
		go gos.pullList(context.WithoutCancel(ctx), gos.address(fro))
	}
	if pin.GetTablesRevision() > gos.Publisher.Current().Revision() {
		go gos.pullConfirmed(context.WithoutCancel(ctx), gos.address(fro), pin.GetTablesRevision(), at)
	}
	return gos.pong(fro.ID)
}

// HandlePingIndirect probes a peer on behalf of another host.
func (gos *Gossiper) HandlePingIndirect(ctx context.Context, ind *messenger.PingIndirect) *messenger.Envelope {
	rep, err := gos.call(ctx, indirectTimeout, ind.GetAddress(), &messenger.Envelope{Body: &messenger.Envelope_Ping{Ping: ind.GetPing()}})
	if err != nil {
		return messenger.NewFailure("unreached", err.Error())
	}
	return rep
}

// HandleMembersPull lists the members, or only the one of its name for a process that has
// no incarnation yet: hundreds of them may start at once.
func (gos *Gossiper) HandleMembersPull(ctx context.Context, pul *messenger.MembersPull, now time.Time) *messenger.Envelope {
	fro, ok := PeerOf(pul.GetFrom())
	if ok = ok && fro.Incarnation > 0; ok {
		gos.step(ctx, Received{From: fro}, now)
	}
	gos.mu.Lock()
	pers := gos.state().Known()
	gos.mu.Unlock()
	if id := pul.GetFrom().GetId(); id != "" && !ok {
		pers = slices.DeleteFunc(pers, func(per Peer) bool { return per.ID != id })
	}
	return &messenger.Envelope{Body: &messenger.Envelope_MembersPush{MembersPush: &messenger.MembersPush{Members: membersOf(pers)}}}
}

// HandleNotices takes notices that a peer pushes.
func (gos *Gossiper) HandleNotices(ctx context.Context, pus *messenger.NoticesPush, now time.Time) *messenger.Envelope {
	gos.takeCargo(ctx, pus.GetNotices(), now)
	return &messenger.Envelope{Body: &messenger.Envelope_Done{Done: &messenger.Done{}}}
}

func (gos *Gossiper) takePong(ctx context.Context, pon *messenger.Pong, reached string) {
	now := time.Now()
	fro, ok := PeerOf(pon.GetFrom())
	if !ok {
		return
	}
	fro.TablesRevision = pon.GetTablesRevision()
	gos.step(ctx, Received{From: fro, DialAddress: reached, Updates: peersOf(pon.GetUpdates())}, now)
	gos.takeCargo(ctx, pon.GetNotices(), now)
	gos.takeCells(pon.GetCells(), now)
	gos.takeRetries(pon.GetFrom().GetId(), pon.GetRetries(), now)
	gos.seeEndpoints(reached, pon.GetEndpointsRevision(), pon.GetEndpointsAgeMs(), now)
	at := now.Add(-time.Duration(pon.GetTablesAgeMs()) * time.Millisecond)
	gos.Publisher.ConfirmRevision(pon.GetTablesRevision(), at)
	if reached != "" && gos.wantsList(pon.GetList(), now) {
		gos.pullList(ctx, reached)
	}
	if reached != "" && pon.GetTablesRevision() > gos.Publisher.Current().Revision() {
		gos.pullConfirmed(ctx, reached, pon.GetTablesRevision(), at)
	}
}

func (gos *Gossiper) takeCargo(ctx context.Context, nots []*messenger.EndpointNotice, now time.Time) {
	if len(nots) == 0 || gos.Payload.MergeNotices == nil {
		return
	}
	if news := gos.Payload.MergeNotices(nots, now); len(news) > 0 {
		go gos.BroadcastNotices(context.WithoutCancel(ctx), news, false)
	}
}

// BroadcastNotices pushes notices that are news to this host. cross adds peers of
// other regions.
func (gos *Gossiper) BroadcastNotices(ctx context.Context, nots []*messenger.EndpointNotice, cross bool) {
	env := func() *messenger.Envelope {
		return &messenger.Envelope{Body: &messenger.Envelope_NoticesPush{NoticesPush: &messenger.NoticesPush{Notices: nots}}}
	}
	var gro sync.WaitGroup
	for _, per := range gos.fan(cross) {
		gro.Go(func() { _, _ = gos.call(ctx, probeTimeout, per.Address, env()) })
	}
	gro.Wait()
}
