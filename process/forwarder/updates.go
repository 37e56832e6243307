package forwarder

import (
	"context"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/connection/persister"
	"hemlockpin/process/follower"
	"hemlockpin/process/gossiper"
	"hemlockpin/process/planner"
	"hemlockpin/process/registrar"
)

const (
	// updateTimeout bounds sending updates to peers and pulling them from a peer.
	updateTimeout = 2 * time.Second
	// updateDelay is the time for which changes of endpoints are collected into one
	// message. An update is relayed by up to a dozen hosts, each of which adds this
	// delay, and has to reach all hosts within 2 s.
	updateDelay = 15 * time.Millisecond
	// maxEndpointLines is the largest number of simultaneous changes of endpoints that
	// are logged with a line each.
	maxEndpointLines = 4
	// hostCheckInterval is the interval between checks for restarted and dead hosts.
	hostCheckInterval = 500 * time.Millisecond
)

// initGossiper connects membership with the tables and the records of endpoints.
// Membership messages carry the revisions of both, and a host pulls tables and records
// that are newer than its own.
func (fwd *Forwarder) initGossiper() {
	set := fwd.Settings
	fwd.gossiper = &gossiper.Gossiper{
		Self: &messenger.Member{
			Id: set.HostID, Address: set.PeerListen, DataCenter: set.DataCenter, Region: set.Region, Incarnation: fwd.Incarnation,
			CapacityMilli: capacityMilli(set),
		},
		Multiplexer: fwd.multiplexer, Publisher: fwd.publisher, Entries: func() []persister.Entry { return nil },
		Seeds: set.SeedPeers, Scope: fwd.scope, Log: fwd.Log, AgeOf: fwd.detector.Age,
		Payload: gossiper.Payload{
			EndpointsRevision: func(now time.Time) (registrar.Revision, time.Duration) {
				rev, _ := fwd.registry.Revision()
				return rev, fwd.detector.Age(fwd.registry.Confirmed(), now)
			},
			ObserveEndpoints:   fwd.comparePeerRevision,
			QuarantineDigest:   fwd.quarantine.ledger.Digest,
			ObserveQuarantines: fwd.compareQuarantines,
			Limits:             fwd.probeLimits,
			MergeLimits:        fwd.mergeLimits,
			Synced: func(ctx context.Context, address string) {
				if _, known := fwd.registry.Revision(); !known {
					fwd.pullEndpoints(ctx, address, time.Time{})
				}
			},
		},
	}
	fwd.publisher.OnAdopt = func(fromStore bool) {
		fwd.releaseWaitingCalls()
		tab := fwd.publisher.Current().Tables()
		fwd.Log.Info().Uint64("Revision", tab.Revision).Int("Routes", len(tab.Routes)).Int("Pools", len(tab.Pools)).Int("Teams", len(tab.Teams)).
			Bool("FromStore", fromStore).Msg("tables in force")
		fwd.planRunner.Refresh()
		go fwd.withUpdateTimeout(func(ctx context.Context) { fwd.gossiper.PushTables(ctx, true) })
	}
}

func (fwd *Forwarder) withUpdateTimeout(fn func(context.Context)) {
	ctx, stop := context.WithTimeout(context.Background(), updateTimeout)
	defer stop()
	fn(ctx)
}

// hasTablesAndEndpoints reports whether the host has received tables and a list of
// endpoints.
func (fwd *Forwarder) hasTablesAndEndpoints() bool {
	_, known := fwd.registry.Revision()
	return known && fwd.publisher.Current().Revision() > 0
}

// releaseWaitingCalls releases the calls that wait for a starting host, if the host has
// tables and endpoints, and either has the quarantines of prompts or no longer waits for them.
func (fwd *Forwarder) releaseWaitingCalls() {
	if fwd.hasTablesAndEndpoints() && fwd.quarantine.State() != quarantinesAwaited {
		fwd.readyOnce.Do(func() { close(fwd.ready) })
	}
}

// applyTables applies tables read from the store, which held nothing newer at the
// given time.
func (fwd *Forwarder) applyTables(result follower.Tables, at time.Time) {
	fwd.reportInvalid("tables", result.Invalid)
	if !result.Found {
		fwd.publisher.ConfirmRevision(fwd.publisher.Current().Revision(), at)
		return
	}
	ok, err := fwd.publisher.Adopt(result.Tables)
	switch {
	case err != nil:
		fwd.Log.Error().Uint64("Revision", result.Tables.Revision).Err(err).Msg("tables from the store rejected; keeping the current ones")
	case ok:
		fwd.publisher.OnAdopt(true)
	}
	fwd.publisher.ConfirmRevision(result.Tables.Revision, at)
}

// applyEndpoints applies endpoints read from the store, which held nothing newer at
// the given time.
func (fwd *Forwarder) applyEndpoints(result follower.Endpoints, at time.Time) {
	fwd.reportInvalid("endpoints", result.Invalid)
	var changed []registrar.Endpoint
	if result.Complete {
		changed = fwd.registry.MergeComplete(result.Endpoints, result.Revision, time.Now())
	} else {
		changed = fwd.registry.Merge(result.Endpoints, result.Revision, time.Now())
	}
	fwd.registry.Confirm(result.Revision, at)
	fwd.reportEraChange("store")
	fwd.releaseWaitingCalls()
	fwd.handleChanges(changed, "store")
}

// reportEraChange logs and counts a change of the store's era, once.
func (fwd *Forwarder) reportEraChange(from string) {
	cha, ok := fwd.registry.TakeEraChange()
	if !ok {
		return
	}
	fwd.scope.Counter("store_era_changes").Inc(1)
	fwd.Log.Warn().Uint64("OldEra", cha.Old.Era).Uint64("OldRevision", cha.Old.Number).Uint64("Era", cha.New.Era).Uint64("Revision", cha.New.Number).
		Int("Removed", cha.Removed).Str("From", from).Msg("store is in a later era; its endpoints are in force, and those that it lacks get calls for two more seconds")
}

// handleChanges logs changes of endpoints, refreshes the plans and queues the changes
// for the next broadcast to peers.
func (fwd *Forwarder) handleChanges(changed []registrar.Endpoint, from string) {
	if len(changed) == 0 {
		return
	}
	fwd.logEndpoints(changed, from)
	fwd.planRunner.Refresh()
	fwd.updatesMu.Lock()
	defer fwd.updatesMu.Unlock()
	if len(fwd.updates) == 0 {
		time.AfterFunc(updateDelay, fwd.broadcastUpdates)
	}
	fwd.updates = append(fwd.updates, changed...)
}

// markLeaving stops new calls to an endpoint whose answers say that it leaves, at this host
// and at its peers.
func (fwd *Forwarder) markLeaving(end registrar.Endpoint) {
	fwd.handleChanges(fwd.registry.MarkLeaving(end), "answer")
}

// broadcastUpdates sends the queued changes of endpoints to peers.
func (fwd *Forwarder) broadcastUpdates() {
	fwd.updatesMu.Lock()
	changed := fwd.updates
	fwd.updates = nil
	fwd.updatesMu.Unlock()
	fwd.withUpdateTimeout(func(ctx context.Context) {
		fwd.gossiper.Broadcast(ctx, func() *messenger.Envelope {
			return &messenger.Envelope{Body: &messenger.Envelope_EndpointsPush{EndpointsPush: registrar.Message(changed, registrar.Revision{})}}
		})
	})
}

// logEndpoints logs a line for each changed endpoint, or one line with counts if there
// are more than maxEndpointLines.
func (fwd *Forwarder) logEndpoints(changed []registrar.Endpoint, from string) {
	if len(changed) <= maxEndpointLines {
		for _, end := range changed {
			fwd.Log.Info().Str("Endpoint", end.ID).Str("Service", end.Service).Str("Address", end.Address).Bool("Leaving", end.Leaving || end.SaysLeaving).
				Bool("Gone", end.Gone).Dur("ColdMs", end.ColdFor).Uint64("Revision", end.Revision.Number).Uint64("Era", end.Revision.Era).Str("From", from).Msg("endpoint changed")
		}
		return
	}
	leaving, removed, rev := 0, 0, registrar.Revision{}
	for _, end := range changed {
		rev = rev.Latest(end.Revision)
		switch {
		case end.Gone:
			removed++
		case end.Leaving, end.SaysLeaving:
			leaving++
		}
	}
	fwd.Log.Info().Int("Endpoints", len(changed)).Int("Leaving", leaving).Int("Gone", removed).Uint64("Revision", rev.Number).Uint64("Era", rev.Era).Str("From", from).Msg("endpoints changed")
}

// handleEndpointsPush merges the records that a peer broadcasts.
func (fwd *Forwarder) handleEndpointsPush(pus *messenger.EndpointsPush, now time.Time) *messenger.Envelope {
	fwd.mergePeerEvacuations(pus)
	fwd.handleChanges(fwd.registry.Merge(fwd.recordsOf(pus), registrar.Revision{}, now), "peer")
	return &messenger.Envelope{Body: &messenger.Envelope_Done{Done: &messenger.Done{}}}
}

// handleEndpointsPull answers with the records that are newer than the peer's revision.
func (fwd *Forwarder) handleEndpointsPull(pul *messenger.EndpointsPull) *messenger.Envelope {
	have := registrar.Revision{Era: pul.GetHaveEra(), Number: pul.GetHaveRevision()}
	if pul.HaveEra == nil {
		own, _ := fwd.registry.Revision()
		have.Era = own.Era
	}
	ends, rev := fwd.registry.RecordsAfter(have)
	pus := registrar.Message(ends, rev)
	evas, evasRev, known := fwd.registry.Evacuations()
	pus.Evacuations, pus.EvacuationsKnown = registrar.EvacuationMessages(evas), known
	pus.EvacuationsRevision, pus.EvacuationsEra = evasRev.Number, evasRev.Era
	return &messenger.Envelope{Body: &messenger.Envelope_EndpointsPush{EndpointsPush: pus}}
}

// comparePeerRevision compares a peer's revision of the endpoints with this host's. At
// an equal revision this host's records count as confirmed; a newer one is pulled, and one
// with the evacuations that this host lacks.
func (fwd *Forwarder) comparePeerRevision(address string, peerRev registrar.Revision, at time.Time) {
	ownRev, complete := fwd.registry.Revision()
	if peerRev == ownRev {
		fwd.registry.Confirm(peerRev, at)
	}
	// A peer may know the evacuations that this host lacks.
	missing := !complete && peerRev == ownRev && fwd.registry.HasEndpoints()
	if !peerRev.After(ownRev) && !missing || !peerRev.InRange() || !fwd.pullingEndpoints.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer fwd.pullingEndpoints.Store(false)
		fwd.withUpdateTimeout(func(ctx context.Context) { fwd.pullEndpoints(ctx, address, at) })
	}()
}

// pullEndpoints merges the newer records of a peer. If the time at is not zero, the
// peer's records were the store's newest then, and the merged records count as confirmed
// at that time. Otherwise a host's records would never count as confirmed while they
// change continuously, since each revision that peers announce is newer than the host's.
func (fwd *Forwarder) pullEndpoints(ctx context.Context, address string, at time.Time) {
	if fwd.quarantine.State() == quarantinesAwaited {
		fwd.pullQuarantines(ctx, address)
	}
	have, _ := fwd.registry.Revision()
	rep, err := fwd.multiplexer.Call(ctx, address, &messenger.Envelope{Body: &messenger.Envelope_EndpointsPull{EndpointsPull: &messenger.EndpointsPull{HaveRevision: have.Number, HaveEra: &have.Era}}})
	if err != nil {
		fwd.Log.Warn().Str("Peer", address).Err(err).Msg("pull of endpoint records from a peer failed; pulling again at the next message with a newer revision")
		return
	}
	pus := rep.GetEndpointsPush()
	fwd.mergePeerEvacuations(pus)
	rev := registrar.Revision{Era: pus.GetEra(), Number: pus.GetRevision()}
	if rev.Number == 0 || !rev.InRange() {
		return
	}
	changed := fwd.registry.MergeFromPeer(fwd.recordsOf(pus), rev, time.Now())
	if !at.IsZero() {
		fwd.registry.Confirm(rev, at)
	}
	fwd.reportEraChange("peer")
	fwd.releaseWaitingCalls()
	fwd.handleChanges(changed, "peer")
}

// setStoreUnavailable and setStoreAvailable record whether the store answers this host,
// for the operators' status and for pollWatchers.
func (fwd *Forwarder) setStoreUnavailable() {
	fwd.scope.Counter("store_read_failures").Inc(1)
	fwd.storeUnavailable.Store(true)
}

func (fwd *Forwarder) setStoreAvailable(time.Time) { fwd.storeUnavailable.Store(false) }

// monitorHosts notifies this host's planner of hosts that have died or restarted, and
// announces this host's grants to hosts that have become planners, until ctx ends.
func (fwd *Forwarder) monitorHosts(ctx context.Context) {
	tic := time.NewTicker(hostCheckInterval)
	defer tic.Stop()
	last := map[string]gossiper.Peer{}
	var seen uint64
	for {
		if changes := fwd.gossiper.Changes(); changes != seen {
			seen = changes
			fwd.reportRemovedHosts(last)
		}
		fwd.planners.Announce(time.Now())
		select {
		case <-tic.C:
		case <-ctx.Done():
			return
		}
	}
}

// reportRemovedHosts notifies the planner of each incarnation of a host that has ended,
// by death or restart, since the peers in last were recorded, and updates last.
func (fwd *Forwarder) reportRemovedHosts(last map[string]gossiper.Peer) {
	for _, per := range fwd.gossiper.Peers() {
		old, ok := last[per.ID]
		if ok && per.Started > old.Started {
			fwd.planRunner.RemoveHost(planner.HostRemoved{Host: per.ID, Incarnation: old.Started})
		}
		reported := ok && old.State == gossiper.StateDead && old.Started == per.Started
		if per.State == gossiper.StateDead && !reported {
			fwd.planRunner.RemoveHost(planner.HostRemoved{Host: per.ID, Incarnation: per.Started})
		}
		last[per.ID] = per
	}
}
