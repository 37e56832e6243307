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

// PlanColdLimit returns the part of the limit of a cold engine that the plan of its pool may use.
func PlanColdLimit(col throttler.ColdLimit) throttler.ColdLimit { return col.WithShare(planShare) }

// Permits obtains permits for calls to limited endpoints from the host in charge of each.
// All its fields but ColdRate are required.
type Permits struct {
	Self      string
	Throttler *throttler.Throttler
	// Live returns the live peers; Leaving reports whether this host is draining.
	Live    func(now time.Time) []gossiper.Peer
	Leaving func() bool
	Peers   PeerClient
	// ColdRate returns the calls a second that an endpoint takes if it is cold, and otherwise 0;
	// nil if endpoints are never cold.
	ColdRate func(endpoint string, now time.Time) float64
	Log      zerolog.Logger
}

// coldRate returns the rate of an endpoint that is cold; 0 if it is not.
func (per *Permits) coldRate(endpoint string, now time.Time) float64 {
	if per.ColdRate == nil {
		return 0
	}
	return per.ColdRate(endpoint, now)
}

// take asks for permission to send one call to an endpoint, out of a share of its limit. If
// it is denied, or if the host in charge does not answer, take returns the time until the
// next attempt.
func (per *Permits) take(ctx context.Context, endpoint string, share float64, now time.Time) (permitted bool, wait time.Duration) {
	lim := per.Throttler.Limit(endpoint)
	cold := per.coldRate(endpoint, now)
	if limited, _ := lim.WithCold(cold); !limited {
		return true, 0
	}
	hos := per.inCharge(endpoint, now)
	if hos.address == "" {
		return per.Throttler.Permit(endpoint, share, cold, now)
	}
	callCtx, stop := context.WithTimeout(ctx, permitTimeout)
	defer stop()
	rep, err := per.Peers.Call(callCtx, hos.address, &messenger.Envelope{Body: &messenger.Envelope_PermitRequest{PermitRequest: &messenger.PermitRequest{Limit: throttler.Message(lim), Share: share, ColdRate: cold}}})
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
	cold := per.coldRate(lims[0].Endpoint, now)
	if asked := req.GetColdRate(); asked > 0 && (cold <= 0 || asked < cold) {
		cold = asked
	}
	permitted, wait := per.Throttler.Permit(lims[0].Endpoint, min(1, max(0, req.GetShare())), cold, now)
	return &messenger.Envelope{Body: &messenger.Envelope_PermitReply{PermitReply: &messenger.PermitReply{Granted: permitted, WaitMs: wait.Milliseconds()}}}
}
