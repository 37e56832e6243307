package gossiper

import (
	"context"
	"slices"
	"sync"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/process/registrar"
)

// buildPing returns the probe for a peer.
func (gos *Gossiper) buildPing(target string) *messenger.Envelope {
	now := time.Now()
	upds, self, region := gos.membershipUpdates(target)
	rev, age := gos.Publisher.Current().Revision(), gos.ageForPeers(gos.Publisher.Confirmed(), now)
	endpointsRevision, endpointsAge := gos.endpointsRevision(now)
	return &messenger.Envelope{Body: &messenger.Envelope_Ping{Ping: &messenger.Ping{
		From: self, Target: target, Updates: upds, TablesRevision: rev, TablesAgeMs: age.Milliseconds(),
		Notices: gos.notices(now), List: gos.listStamp(now), Cells: gos.cells(region, now), Retries: gos.retryBudget(now),
		EndpointsRevision: endpointsRevision.Number, EndpointsEra: endpointsRevision.Era, EndpointsAgeMs: endpointsAge.Milliseconds(), QuarantineDigest: gos.quarantineDigest(now), Limits: gos.limits(), Evacuations: gos.evacuations(),
	}}}
}

func (gos *Gossiper) buildPong(target string) *messenger.Envelope {
	now := time.Now()
	upds, self, region := gos.membershipUpdates(target)
	rev, age := gos.Publisher.Current().Revision(), gos.ageForPeers(gos.Publisher.Confirmed(), now)
	endpointsRevision, endpointsAge := gos.endpointsRevision(now)
	return &messenger.Envelope{Body: &messenger.Envelope_Pong{Pong: &messenger.Pong{
		From: self, Updates: upds, TablesRevision: rev, TablesAgeMs: age.Milliseconds(),
		Notices: gos.notices(now), List: gos.listStamp(now), Cells: gos.cells(region, now), Retries: gos.retryBudget(now),
		EndpointsRevision: endpointsRevision.Number, EndpointsEra: endpointsRevision.Era, EndpointsAgeMs: endpointsAge.Milliseconds(), QuarantineDigest: gos.quarantineDigest(now), Limits: gos.limits(), Evacuations: gos.evacuations(),
	}}}
}

// membershipUpdates returns the membership changes to send to a peer, this host as a
// member and the peer's region.
func (gos *Gossiper) membershipUpdates(target string) ([]*messenger.Member, *messenger.Member, string) {
	gos.mu.Lock()
	defer gos.mu.Unlock()
	ros := gos.rosterLocked()
	region := ""
	if mem := ros.members[target]; mem != nil {
		region = mem.Region
	}
	return membersOf(ros.NextUpdates(target)), ros.Self.Member(), region
}

// ageForPeers returns the age of a confirmation, as reported to peers.
func (gos *Gossiper) ageForPeers(at, now time.Time) time.Duration {
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

func (gos *Gossiper) mergeCells(digs []*messenger.CellDigest, now time.Time) {
	if gos.Payload.MergeCells != nil {
		gos.Payload.MergeCells(digs, now)
	}
}

func (gos *Gossiper) retryBudget(now time.Time) *messenger.RetryBudget {
	if gos.Payload.RetryBudget == nil {
		return nil
	}
	return gos.Payload.RetryBudget(now)
}

func (gos *Gossiper) mergeRetryBudget(host string, ret *messenger.RetryBudget, now time.Time) {
	if gos.Payload.MergeRetryBudget != nil && ret != nil {
		gos.Payload.MergeRetryBudget(host, ret, now)
	}
}

func (gos *Gossiper) endpointsRevision(now time.Time) (revision registrar.Revision, age time.Duration) {
	if gos.Payload.EndpointsRevision == nil {
		return revision, 0
	}
	return gos.Payload.EndpointsRevision(now)
}

func (gos *Gossiper) observeEndpoints(address string, revision registrar.Revision, ageMs int64, now time.Time) {
	if gos.Payload.ObserveEndpoints != nil && address != "" && revision.Number > 0 {
		gos.Payload.ObserveEndpoints(address, revision, now.Add(-messenger.Age(ageMs)))
	}
}

func (gos *Gossiper) quarantineDigest(now time.Time) uint64 {
	if gos.Payload.QuarantineDigest == nil {
		return 0
	}
	return gos.Payload.QuarantineDigest(now)
}

func (gos *Gossiper) observeQuarantines(address string, digest uint64) {
	if gos.Payload.ObserveQuarantines != nil && address != "" {
		gos.Payload.ObserveQuarantines(address, digest)
	}
}

func (gos *Gossiper) limits() []*messenger.LimitRecord {
	if gos.Payload.Limits == nil {
		return nil
	}
	return gos.Payload.Limits()
}

func (gos *Gossiper) mergeLimits(lims []*messenger.LimitRecord, now time.Time) {
	if gos.Payload.MergeLimits != nil && len(lims) > 0 {
		gos.Payload.MergeLimits(lims, now)
	}
}

func (gos *Gossiper) evacuations() []*messenger.EvacuationRecord {
	if gos.Payload.Evacuations == nil {
		return nil
	}
	return gos.Payload.Evacuations()
}

func (gos *Gossiper) mergeEvacuations(evas []*messenger.EvacuationRecord) {
	if gos.Payload.MergeEvacuations != nil && len(evas) > 0 {
		gos.Payload.MergeEvacuations(evas)
	}
}

// Broadcast sends a message to the neighbours of this host and to one host of each other
// region. newEnvelope returns the message for each call.
func (gos *Gossiper) Broadcast(ctx context.Context, newEnvelope func() *messenger.Envelope) {
	var gro sync.WaitGroup
	for _, per := range gos.broadcastTargets(true) {
		gro.Go(func() {
			if _, err := gos.call(ctx, probeTimeout, per.Address, newEnvelope()); err != nil {
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

// HandlePing merges what a probe carries and returns the reply.
func (gos *Gossiper) HandlePing(ctx context.Context, pin *messenger.Ping, now time.Time) *messenger.Envelope {
	from, ok := PeerOf(pin.GetFrom())
	if !ok || pin.GetTarget() != gos.Self.GetId() {
		return messenger.NewFailure("wrong_target", "the probe is not for this host")
	}
	from.TablesRevision = pin.GetTablesRevision()
	gos.step(ctx, Received{From: from, Updates: gos.peersOf(pin.GetUpdates())}, now)
	gos.receiveNotices(ctx, pin.GetNotices(), now)
	gos.mergeCells(pin.GetCells(), now)
	gos.mergeRetryBudget(pin.GetFrom().GetId(), pin.GetRetries(), now)
	gos.observeEndpoints(gos.dialAddress(from), registrar.Revision{Era: pin.GetEndpointsEra(), Number: pin.GetEndpointsRevision()}, pin.GetEndpointsAgeMs(), now)
	gos.observeQuarantines(gos.dialAddress(from), pin.GetQuarantineDigest())
	gos.mergeLimits(pin.GetLimits(), now)
	gos.mergeEvacuations(pin.GetEvacuations())
	at := now.Add(-messenger.Age(pin.GetTablesAgeMs()))
	gos.Publisher.ConfirmRevision(pin.GetTablesRevision(), at)
	if gos.observeStamp(pin.GetList(), now) {
		go gos.pullList(context.WithoutCancel(ctx), gos.dialAddress(from))
	}
	if pin.GetTablesRevision() > gos.Publisher.Current().Revision() {
		go gos.pullAndConfirm(context.WithoutCancel(ctx), gos.dialAddress(from), pin.GetTablesRevision(), at)
	}
	return gos.buildPong(from.ID)
}

// HandlePingIndirect probes a peer on behalf of another host.
func (gos *Gossiper) HandlePingIndirect(ctx context.Context, pin *messenger.PingIndirect) *messenger.Envelope {
	rep, err := gos.call(ctx, indirectTimeout, pin.GetAddress(), &messenger.Envelope{Body: &messenger.Envelope_Ping{Ping: pin.GetPing()}})
	if err != nil {
		return messenger.NewFailure("unreached", err.Error())
	}
	return rep
}

// HandleMembersPull returns all members. A starting process that has no incarnation yet
// gets only the member with its own ID: hundreds of processes may start at once, and the
// full list would be a large reply to each.
func (gos *Gossiper) HandleMembersPull(ctx context.Context, pul *messenger.MembersPull, now time.Time) *messenger.Envelope {
	from, ok := PeerOf(pul.GetFrom())
	if ok = ok && from.Incarnation > 0; ok {
		gos.step(ctx, Received{From: from}, now)
	}
	gos.mu.Lock()
	pers := gos.rosterLocked().Reported()
	gos.mu.Unlock()
	if id := pul.GetFrom().GetId(); id != "" && !ok {
		pers = slices.DeleteFunc(pers, func(per Peer) bool { return per.ID != id })
	}
	return &messenger.Envelope{Body: &messenger.Envelope_MembersPush{MembersPush: &messenger.MembersPush{Members: membersOf(pers)}}}
}

// HandleNotices merges endpoint notices that a peer pushed.
func (gos *Gossiper) HandleNotices(ctx context.Context, pus *messenger.NoticesPush, now time.Time) *messenger.Envelope {
	gos.receiveNotices(ctx, pus.GetNotices(), now)
	return &messenger.Envelope{Body: &messenger.Envelope_Done{Done: &messenger.Done{}}}
}

// handlePong merges what a reply to a probe carries. address is where this host called the
// peer; it is empty if a relay did. Without an address nothing is pulled from the peer.
func (gos *Gossiper) handlePong(ctx context.Context, pon *messenger.Pong, address string) {
	now := time.Now()
	from, ok := PeerOf(pon.GetFrom())
	if !ok {
		return
	}
	from.TablesRevision = pon.GetTablesRevision()
	gos.step(ctx, Received{From: from, DialAddress: address, Updates: gos.peersOf(pon.GetUpdates())}, now)
	gos.receiveNotices(ctx, pon.GetNotices(), now)
	gos.mergeCells(pon.GetCells(), now)
	gos.mergeRetryBudget(pon.GetFrom().GetId(), pon.GetRetries(), now)
	gos.observeEndpoints(address, registrar.Revision{Era: pon.GetEndpointsEra(), Number: pon.GetEndpointsRevision()}, pon.GetEndpointsAgeMs(), now)
	gos.observeQuarantines(address, pon.GetQuarantineDigest())
	gos.mergeLimits(pon.GetLimits(), now)
	gos.mergeEvacuations(pon.GetEvacuations())
	at := now.Add(-messenger.Age(pon.GetTablesAgeMs()))
	gos.Publisher.ConfirmRevision(pon.GetTablesRevision(), at)
	if address != "" && gos.observeStamp(pon.GetList(), now) {
		gos.pullList(ctx, address)
	}
	if address != "" && pon.GetTablesRevision() > gos.Publisher.Current().Revision() {
		gos.pullAndConfirm(ctx, address, pon.GetTablesRevision(), at)
	}
}

// receiveNotices merges notices and broadcasts those that are new to this host.
func (gos *Gossiper) receiveNotices(ctx context.Context, nots []*messenger.EndpointNotice, now time.Time) {
	if len(nots) == 0 || gos.Payload.MergeNotices == nil {
		return
	}
	if added := gos.Payload.MergeNotices(nots, now); len(added) > 0 {
		go gos.BroadcastNotices(context.WithoutCancel(ctx), added, false)
	}
}

// BroadcastNotices pushes notices that are new to this host to its neighbours. crossRegion
// adds one peer of each other region.
func (gos *Gossiper) BroadcastNotices(ctx context.Context, nots []*messenger.EndpointNotice, crossRegion bool) {
	newEnvelope := func() *messenger.Envelope {
		return &messenger.Envelope{Body: &messenger.Envelope_NoticesPush{NoticesPush: &messenger.NoticesPush{Notices: nots}}}
	}
	var gro sync.WaitGroup
	for _, per := range gos.broadcastTargets(crossRegion) {
		gro.Go(func() { _, _ = gos.call(ctx, probeTimeout, per.Address, newEnvelope()) })
	}
	gro.Wait()
}
