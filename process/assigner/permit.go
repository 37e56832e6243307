package assigner

import (
	"context"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/process/gossiper"
	"hemlockpin/process/scheduler"
	"hemlockpin/process/throttler"

	"github.com/rs/zerolog"
)

const (
	// planShare is the share of an engine's limit that the plan of its pool uses. The calls
	// that are placed without the plan use the rest.
	planShare = 0.85
	// permitTimeout bounds the call for a permit, which takes a few milliseconds within a
	// region.
	permitTimeout = 150 * time.Millisecond
)

// PlanLimit returns the part of an engine's limit that the plan of its pool may use.
func PlanLimit(lim throttler.Limit) float64 { return planShare * lim.Rate }

// Permits obtains permits for calls to limited endpoints from the host in charge of each.
// All its fields are required.
type Permits struct {
	Self      string
	Throttler *throttler.Throttler
	// Live returns the live peers; Leaving reports whether this host is draining.
	Live    func(now time.Time) []gossiper.Peer
	Leaving func() bool
	Peers   PeerClient
	Log     zerolog.Logger
}

// take asks for permission to send one call to an endpoint, out of a share of its limit. If
// it is denied, or if the host in charge does not answer, take returns the time until the
// next attempt.
func (per *Permits) take(ctx context.Context, endpoint string, share float64, now time.Time) (permitted bool, wait time.Duration) {
	lim := per.Throttler.Limit(endpoint)
	if !lim.InForce() {
		return true, 0
	}
	hos := per.inCharge(endpoint, now)
	if hos.address == "" {
		return per.Throttler.Permit(endpoint, share, now)
	}
	callCtx, stop := context.WithTimeout(ctx, permitTimeout)
	defer stop()
	rep, err := per.Peers.Call(callCtx, hos.address, &messenger.Envelope{Body: &messenger.Envelope_PermitRequest{PermitRequest: &messenger.PermitRequest{Limit: throttler.Message(lim), Share: share}}})
	if err != nil {
		per.Log.Warn().Str("Endpoint", endpoint).Str("Peer", hos.id).Err(err).Msg("no permit for a limited endpoint, as the host in charge does not answer; using another endpoint")
		return false, retryAfter
	}
	return rep.GetPermitReply().GetGranted(), messenger.Millis(rep.GetPermitReply().GetWaitMs())
}

// inCharge returns the host that permits the calls to an endpoint; its address is empty for
// this host.
func (per *Permits) inCharge(endpoint string, now time.Time) host {
	addresses := map[string]string{}
	var ids []string
	for _, pee := range per.Live(now) {
		ids = append(ids, pee.ID)
		addresses[pee.ID] = pee.Address
	}
	if !per.Leaving() || len(ids) == 0 {
		ids = append(ids, per.Self)
	}
	id := scheduler.RankHosts(endpoint, ids)[0]
	return host{id: id, address: addresses[id]}
}

// HandlePermit answers another host's request for a permit.
func (per *Permits) HandlePermit(req *messenger.PermitRequest, now time.Time) *messenger.Envelope {
	lims := throttler.FromMessages([]*messenger.LimitRecord{req.GetLimit()})
	if len(lims) == 0 {
		return messenger.NewFailure("bad_limit", "the request names no limit")
	}
	per.Throttler.Merge(lims, now)
	permitted, wait := per.Throttler.Permit(lims[0].Endpoint, min(1, max(0, req.GetShare())), now)
	return &messenger.Envelope{Body: &messenger.Envelope_PermitReply{PermitReply: &messenger.PermitReply{Granted: permitted, WaitMs: wait.Milliseconds()}}}
}
