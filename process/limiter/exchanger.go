package limiter

import (
	"context"
	"strconv"
	"sync"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/process/scheduler"

	"github.com/cespare/xxhash/v2"
)

const (
	// teamGroups is the number of groups of teams. Each group has one host that
	// coordinates its shares. It bounds the reports that a host sends in an exchange,
	// whatever the number of teams.
	teamGroups = 8
	// callTimeout bounds one report to a coordinator.
	callTimeout = time.Second
	// hostCountInterval is the interval at which the live hosts are counted.
	hostCountInterval = 250 * time.Millisecond
)

// Host is a live host other than this host.
type Host struct {
	ID      string
	Address string
}

// Exchanger reports the demands of a host to the coordinators and receives its shares.
// All fields must be set.
type Exchanger struct {
	Self        string
	Incarnation uint64
	Limiter     *Limiter
	Coordinator *Coordinator
	// Live returns the other live hosts.
	Live func() []Host
	Call func(ctx context.Context, address string, env *messenger.Envelope) (*messenger.Envelope, error)
}

// Run exchanges demands and shares until ctx ends.
func (exc *Exchanger) Run(ctx context.Context) {
	tic := time.NewTicker(hostCountInterval)
	defer tic.Stop()
	next := time.Time{}
	for {
		select {
		case now := <-tic.C:
			exc.Limiter.SetHosts(len(exc.Live()) + 1)
			if now.Before(next) {
				continue
			}
			next = now.Add(Interval)
			exc.exchange(ctx, now)
		case <-ctx.Done():
			return
		}
	}
}

func (exc *Exchanger) exchange(ctx context.Context, now time.Time) {
	hosts := exc.Live()
	exc.Coordinator.DropIdleTeams(now)
	var groups [teamGroups][]Demand
	for _, dem := range exc.Limiter.Demands(now) {
		group := xxhash.Sum64String(dem.Team) % teamGroups
		groups[group] = append(groups[group], dem)
	}
	// The reports run concurrently since a coordinator that does not answer must not
	// delay the others until shares expire.
	var wg sync.WaitGroup
	defer wg.Wait()
	for group, dems := range groups {
		if len(dems) > 0 {
			wg.Go(func() { exc.reportDemands(ctx, coordinatorAddress(group, exc.Self, hosts), dems, now) })
		}
	}
}

// coordinatorAddress returns the address of the host that coordinates a group; it is
// empty for this host.
func coordinatorAddress(group int, self string, hosts []Host) string {
	ids := []string{self}
	addresses := map[string]string{}
	for _, host := range hosts {
		ids = append(ids, host.ID)
		addresses[host.ID] = host.Address
	}
	return addresses[scheduler.RankHosts("limits/"+strconv.Itoa(group), ids)[0]]
}

func (exc *Exchanger) reportDemands(ctx context.Context, address string, dems []Demand, now time.Time) {
	if address == "" {
		exc.Limiter.SetShares(exc.Coordinator.Report(exc.Self, dems, now), now)
		return
	}
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	rep, err := exc.Call(ctx, address, &messenger.Envelope{Body: &messenger.Envelope_DemandReport{DemandReport: &messenger.DemandReport{
		Host: exc.Self, Incarnation: exc.Incarnation, Demands: demandMessages(dems),
	}}})
	// Without a reply the shares stay valid until ShareLife has passed.
	if err == nil {
		exc.Limiter.SetShares(sharesOf(rep.GetDemandReply().GetShares()), now)
	}
}

// HandleReport records another host's demands and returns its shares.
func (exc *Exchanger) HandleReport(rep *messenger.DemandReport, now time.Time) *messenger.Envelope {
	var dems []Demand
	for _, dem := range rep.GetDemands() {
		dems = append(dems, Demand{dem.GetTeam(), dem.GetRate()})
	}
	var shas []*messenger.TeamShare
	for _, sha := range exc.Coordinator.Report(rep.GetHost(), dems, now) {
		shas = append(shas, &messenger.TeamShare{Team: sha.Team, Part: sha.Fraction})
	}
	return &messenger.Envelope{Body: &messenger.Envelope_DemandReply{DemandReply: &messenger.DemandReply{Shares: shas}}}
}

func demandMessages(dems []Demand) []*messenger.TeamDemand {
	out := make([]*messenger.TeamDemand, len(dems))
	for i, dem := range dems {
		out[i] = &messenger.TeamDemand{Team: dem.Team, Rate: dem.Rate}
	}
	return out
}

func sharesOf(shas []*messenger.TeamShare) []Share {
	out := make([]Share, len(shas))
	for i, sha := range shas {
		out[i] = Share{sha.GetTeam(), sha.GetPart()}
	}
	return out
}
