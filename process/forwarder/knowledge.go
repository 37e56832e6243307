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
	// spreadTimeout bounds the spreading of news to peers.
	spreadTimeout = 2 * time.Second
	// newsDelay collects news of endpoints, so that many travel in one message. News
	// passes a dozen hosts on its way, within 2 s.
	newsDelay = 15 * time.Millisecond
	// notedEndpoints is the number of endpoints that get a line each in the log when
	// they change at once.
	notedEndpoints = 4
	// hostsInterval is the interval at which replaced and dead hosts are looked for.
	hostsInterval = 500 * time.Millisecond
)

// joinPeers joins membership with the tables and the records of endpoints.
func (fwd *Forwarder) joinPeers() {
	set := fwd.Settings
	fwd.gossiper = &gossiper.Gossiper{
		Self: &messenger.Member{
			Id: set.HostID, Address: set.PeerListen, DataCenter: set.DataCenter, Region: set.Region, Incarnation: fwd.Incarnation,
			CapacityMilli: capacityMilli(set),
		},
		Multiplexer: fwd.multiplexer, Publisher: fwd.publisher, Entries: func() []persister.Entry { return nil },
		Seeds: set.SeedPeers, Scope: fwd.scope, Log: fwd.Log, AgeOf: fwd.detector.Aged,
		Payload: gossiper.Payload{
			Endpoints: func(now time.Time) (uint64, time.Duration) {
				rev, _ := fwd.registry.Revision()
				return rev, fwd.detector.Aged(fwd.registry.Confirmed(), now)
			},
			ObserveEndpoints: fwd.seeEndpoints,
			Synced: func(ctx context.Context, address string) {
				if _, known := fwd.registry.Revision(); !known {
					fwd.pullEndpoints(ctx, address, time.Time{})
				}
			},
		},
	}
	fwd.publisher.OnAccept = func(fromStore bool) {
		fwd.checkReady()
		tab := fwd.publisher.Current().Tables()
		fwd.Log.Info().Uint64("Revision", tab.Revision).Int("Routes", len(tab.Routes)).Int("Pools", len(tab.Pools)).Int("Teams", len(tab.Teams)).
			Bool("FromStore", fromStore).Msg("tables in force")
		fwd.runner.Refresh()
		go fwd.spread(func(ctx context.Context) { fwd.gossiper.PushTables(ctx, true) })
	}
}

func (fwd *Forwarder) spread(fun func(context.Context)) {
	ctx, stop := context.WithTimeout(context.Background(), spreadTimeout)
	defer stop()
	fun(ctx)
}

// knows reports whether the host has tables and knows the endpoints.
func (fwd *Forwarder) knows() bool {
	_, known := fwd.registry.Revision()
	return known && fwd.publisher.Current().Revision() > 0
}

// checkReady lets the calls go on that wait for the host's knowledge.
func (fwd *Forwarder) checkReady() {
	if fwd.knows() {
		fwd.readyOnce.Do(func() { close(fwd.ready) })
	}
}

// takeTables takes a reading of the store that was true at a time.
func (fwd *Forwarder) takeTables(rea follower.Tables, at time.Time) {
	if !rea.Found {
		fwd.publisher.ConfirmRevision(fwd.publisher.Current().Revision(), at)
		return
	}
	ok, err := fwd.publisher.Accept(rea.Tables)
	switch {
	case err != nil:
		fwd.Log.Error().Uint64("Revision", rea.Tables.Revision).Err(err).Msg("tables not taken")
	case ok:
		fwd.publisher.OnAccept(true)
	}
	fwd.publisher.ConfirmRevision(rea.Tables.Revision, at)
}

// takeEndpoints takes a reading of the store that was true at a time.
func (fwd *Forwarder) takeEndpoints(rea follower.Endpoints, at time.Time) {
	var news []registrar.Endpoint
	if rea.Whole {
		news = fwd.registry.Replace(rea.Endpoints, rea.Revision, time.Now())
	} else {
		news = fwd.registry.Merge(rea.Endpoints, rea.Revision, time.Now())
	}
	fwd.registry.Confirm(rea.Revision, at)
	fwd.checkReady()
	fwd.learned(news, "store")
}

// learned acts on news of endpoints and passes them on.
func (fwd *Forwarder) learned(news []registrar.Endpoint, from string) {
	if len(news) == 0 {
		return
	}
	fwd.noteEndpoints(news, from)
	fwd.runner.Refresh()
	fwd.newsMu.Lock()
	defer fwd.newsMu.Unlock()
	if len(fwd.news) == 0 {
		time.AfterFunc(newsDelay, fwd.passNews)
	}
	fwd.news = append(fwd.news, news...)
}

// passNews passes on what was learned of endpoints lately.
func (fwd *Forwarder) passNews() {
	fwd.newsMu.Lock()
	news := fwd.news
	fwd.news = nil
	fwd.newsMu.Unlock()
	fwd.spread(func(ctx context.Context) {
		fwd.gossiper.Broadcast(ctx, func() *messenger.Envelope {
			return &messenger.Envelope{Body: &messenger.Envelope_EndpointsPush{EndpointsPush: registrar.Message(news, 0)}}
		})
	})
}

// noteEndpoints logs a line for each endpoint, or one with counts for many at once.
func (fwd *Forwarder) noteEndpoints(news []registrar.Endpoint, from string) {
	if len(news) <= notedEndpoints {
		for _, end := range news {
			fwd.Log.Info().Str("Endpoint", end.ID).Str("Service", end.Service).Str("Address", end.Address).Bool("Leaving", end.Leaving).
				Bool("Gone", end.Gone).Uint64("Revision", end.Revision).Str("From", from).Msg("endpoint changed")
		}
		return
	}
	leaving, gone, rev := 0, 0, uint64(0)
	for _, end := range news {
		rev = max(rev, end.Revision)
		switch {
		case end.Gone:
			gone++
		case end.Leaving:
			leaving++
		}
	}
	fwd.Log.Info().Int("Endpoints", len(news)).Int("Leaving", leaving).Int("Gone", gone).Uint64("Revision", rev).Str("From", from).Msg("endpoints changed")
}

// receiveEndpoints takes records that a peer spreads.
func (fwd *Forwarder) receiveEndpoints(pus *messenger.EndpointsPush, now time.Time) *messenger.Envelope {
	fwd.learned(fwd.registry.Merge(registrar.FromMessage(pus), 0, now), "peer")
	return &messenger.Envelope{Body: &messenger.Envelope_Done{Done: &messenger.Done{}}}
}

// offerEndpoints answers with what a peer lacks.
func (fwd *Forwarder) offerEndpoints(pul *messenger.EndpointsPull) *messenger.Envelope {
	ends, rev := fwd.registry.After(pul.GetHaveRevision())
	return &messenger.Envelope{Body: &messenger.Envelope_EndpointsPush{EndpointsPush: registrar.Message(ends, rev)}}
}

// seeEndpoints pulls the records of a peer that knows more than this host.
func (fwd *Forwarder) seeEndpoints(address string, revision uint64, at time.Time) {
	rev, _ := fwd.registry.Revision()
	if revision == rev {
		fwd.registry.Confirm(revision, at)
	}
	if revision <= rev || !fwd.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer fwd.pulling.Store(false)
		fwd.spread(func(ctx context.Context) { fwd.pullEndpoints(ctx, address, at) })
	}()
}

// pullEndpoints takes what a peer knows. At the time at, if it is not zero, the store held
// nothing that the peer does not know: while records change all the time, a host never
// hears of the revision that it has.
func (fwd *Forwarder) pullEndpoints(ctx context.Context, address string, at time.Time) {
	have, _ := fwd.registry.Revision()
	rep, err := fwd.multiplexer.Call(ctx, address, &messenger.Envelope{Body: &messenger.Envelope_EndpointsPull{EndpointsPull: &messenger.EndpointsPull{HaveRevision: have}}})
	if err != nil {
		fwd.Log.Warn().Str("Peer", address).Err(err).Msg("records of endpoints not pulled")
		return
	}
	pus := rep.GetEndpointsPush()
	if pus.GetRevision() == 0 {
		return
	}
	news := fwd.registry.MergeFromPeer(registrar.FromMessage(pus), pus.GetRevision(), time.Now())
	if !at.IsZero() {
		fwd.registry.Confirm(pus.GetRevision(), at)
	}
	fwd.checkReady()
	fwd.learned(news, "peer")
}

// away and back follow whether the store answers this host, for operators.
func (fwd *Forwarder) away()          { fwd.storeAway.Store(true) }
func (fwd *Forwarder) back(time.Time) { fwd.storeAway.Store(false) }

// watchHosts tells the plans of hosts that have died or were replaced.
func (fwd *Forwarder) watchHosts(ctx context.Context) {
	tic := time.NewTicker(hostsInterval)
	defer tic.Stop()
	las := map[string]gossiper.Peer{}
	var seen uint64
	for {
		if num := fwd.gossiper.Changes(); num != seen {
			seen = num
			fwd.compareHosts(las)
		}
		fwd.planners.Announce(time.Now())
		select {
		case <-tic.C:
		case <-ctx.Done():
			return
		}
	}
}

// compareHosts tells the plans of hosts that have died or were replaced since last.
func (fwd *Forwarder) compareHosts(last map[string]gossiper.Peer) {
	for _, per := range fwd.gossiper.Peers() {
		old, ok := last[per.ID]
		if ok && per.Started > old.Started {
			fwd.runner.HostGone(planner.HostGone{Host: per.ID, Incarnation: old.Started})
		}
		known := ok && old.State == gossiper.StateDead && old.Started == per.Started
		if per.State == gossiper.StateDead && !known {
			fwd.runner.HostGone(planner.HostGone{Host: per.ID, Incarnation: per.Started})
		}
		last[per.ID] = per
	}
}
