package forwarder

import (
	"context"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/process/follower"
	"hemlockpin/process/registrar"
)

const (
	// evacuationWaitShare is the fraction of the setting EvacuateWithin for which one watch of the
	// evacuations waits: a watch may stall on a lost connection.
	evacuationWaitShare = 0.3
	maxEvacuationWait   = 2 * time.Second
	// evacuationPeerWait is how long a starting host leaves its peers to send the evacuations.
	evacuationPeerWait = 300 * time.Millisecond
	// evacuationAgeShare is the fraction of EvacuateWithin from which a host that no peer has
	// confirmed reads the evacuations itself. Hundreds of hosts are unconfirmed for less after
	// faults.
	evacuationAgeShare = 0.6
)

// evacuates reports whether the operator may evacuate data centres.
func (fwd *Forwarder) evacuates() bool {
	return fwd.Settings.EvacuateWithin > 0 && fwd.Platform.Evacuations != nil
}

// followEvacuations makes the host follow the evacuations in the store, and exchange them with its
// peers.
func (fwd *Forwarder) followEvacuations() {
	if !fwd.evacuates() {
		return
	}
	fwd.registry.Evacuates = true
	fol, pay := fwd.follower, &fwd.gossiper.Payload
	fol.Evacuations, fol.OnEvacuations = fwd.Platform.Evacuations, fwd.applyEvacuations
	fol.ShouldReadEvacuations = fwd.shouldReadEvacuations
	fol.EvacuationWait = min(maxEvacuationWait, time.Duration(evacuationWaitShare*float64(fwd.Settings.EvacuateWithin)))
	pay.Evacuations = func() []*messenger.EvacuationRecord {
		evas, _, _ := fwd.registry.Evacuations()
		return registrar.EvacuationMessages(evas)
	}
	pay.MergeEvacuations = func(recs []*messenger.EvacuationRecord) {
		fwd.handleEvacuations(fwd.registry.MergeEvacuations(registrar.EvacuationsOf(recs), time.Now()), "peer")
	}
}

// shouldReadEvacuations reports whether this host has to read the evacuations from the store: it is
// one of the watchers of its region, it has everything but them, or no peer has confirmed its state
// for long.
func (fwd *Forwarder) shouldReadEvacuations(now time.Time) bool {
	if _, self := fwd.watchers(now); self {
		return true
	}
	if _, _, known := fwd.registry.Evacuations(); !known {
		return fwd.registry.HasEndpoints() && now.Sub(fwd.started) >= max(fwd.Settings.StartWait, evacuationPeerWait)
	}
	return fwd.sinceConfirmed(now) > time.Duration(evacuationAgeShare*float64(fwd.Settings.EvacuateWithin))
}

// applyEvacuations applies evacuations read from the store.
func (fwd *Forwarder) applyEvacuations(result follower.Evacuations) {
	fwd.reportInvalid("evacuations", result.Invalid)
	if result.Complete {
		fwd.handleEvacuations(fwd.registry.MergeCompleteEvacuations(result.Evacuations, result.Revision, time.Now()), "store")
	} else {
		fwd.handleEvacuations(fwd.registry.MergeEvacuations(result.Evacuations, time.Now()), "store")
	}
	fwd.releaseWaitingCalls()
}

// handleEvacuations puts changes in force in the plans of this host, and broadcasts them.
func (fwd *Forwarder) handleEvacuations(changed []registrar.Evacuation, from string) {
	if len(changed) == 0 {
		return
	}
	now := time.Now()
	for _, eva := range changed {
		msg := "data centre evacuated; its endpoints get no new calls"
		if eva.Lifted {
			msg = "evacuation lifted; the endpoints of the data centre get calls again"
		}
		fwd.Log.Info().Str("DataCenter", eva.DataCenter).Uint64("Revision", eva.Revision.Number).Uint64("Era", eva.Revision.Era).Int("Endpoints", fwd.registry.CountIn(eva.DataCenter, now)).
			Str("From", from).Msg(msg)
	}
	fwd.countEvacuations()
	fwd.planRunner.Refresh()
	go fwd.withUpdateTimeout(func(ctx context.Context) {
		fwd.gossiper.Broadcast(ctx, func() *messenger.Envelope {
			return &messenger.Envelope{Body: &messenger.Envelope_EndpointsPush{EndpointsPush: &messenger.EndpointsPush{Evacuations: registrar.EvacuationMessages(changed)}}}
		})
	})
}

func (fwd *Forwarder) countEvacuations() {
	evas, _, _ := fwd.registry.Evacuations()
	inForce := 0
	for _, eva := range evas {
		if !eva.Lifted {
			inForce++
		}
	}
	fwd.scope.Gauge("evacuated_data_centers").Update(float64(inForce))
}

// mergePeerEvacuations merges the evacuations of a peer's message.
func (fwd *Forwarder) mergePeerEvacuations(pus *messenger.EndpointsPush) {
	if !fwd.evacuates() {
		return
	}
	evas, now := registrar.EvacuationsOf(pus.GetEvacuations()), time.Now()
	rev := registrar.Revision{Era: pus.GetEvacuationsEra(), Number: pus.GetEvacuationsRevision()}
	if pus.GetEvacuationsKnown() && rev.InRange() {
		fwd.handleEvacuations(fwd.registry.MergePeerEvacuations(evas, rev, now), "peer")
		return
	}
	fwd.handleEvacuations(fwd.registry.MergeEvacuations(evas, now), "peer")
}
