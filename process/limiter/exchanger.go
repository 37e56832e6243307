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
	// keepers is the number of groups of teams, each with a host of its own
	// that keeps their demands. It bounds the messages of a host whatever the
	// number of teams.
	keepers     = 8
	callTimeout = time.Second
	// countInterval is the interval at which the live hosts are counted.
	countInterval = 250 * time.Millisecond
)

// Host is another host that can keep demands.
type Host struct {
	ID      string
	Address string
}

// Exchanger reports a host's demands to the keepers and learns its shares. All
// its fields are needed.
type Exchanger struct {
	Self        string
	Incarnation uint64
	Limiter     *Limiter
	Keeper      *Keeper
	// Live returns the other hosts that can be given work.
	Live func() []Host
	Call func(ctx context.Context, address string, env *messenger.Envelope) (*messenger.Envelope, error)
}

// Run exchanges until ctx ends.
func (exc *Exchanger) Run(ctx context.Context) {
	tic := time.NewTicker(countInterval)
	defer tic.Stop()
	nex := time.Time{}
	for {
		select {
		case now := <-tic.C:
			exc.Limiter.SetHosts(len(exc.Live()) + 1)
			if now.Before(nex) {
				continue
			}
			nex = now.Add(Interval)
			exc.exchange(ctx, now)
		case <-ctx.Done():
			return
		}
	}
}

func (exc *Exchanger) exchange(ctx context.Context, now time.Time) {
	hoss := exc.Live()
	exc.Keeper.Forget(now)
	var gros [keepers][]Demand
	for _, dem := range exc.Limiter.Demands(now) {
		gro := xxhash.Sum64String(dem.Team) % keepers
		gros[gro] = append(gros[gro], dem)
	}
	// A keeper that does not answer must not use up the life of other shares.
	var wai sync.WaitGroup
	defer wai.Wait()
	for num, dems := range gros {
		if len(dems) > 0 {
			wai.Go(func() { exc.report(ctx, keeperOf(num, exc.Self, hoss), dems, now) })
		}
	}
}

// keeperOf returns the host that keeps a group; no address stands for this host.
func keeperOf(num int, self string, hoss []Host) string {
	ids := []string{self}
	adds := map[string]string{}
	for _, hos := range hoss {
		ids = append(ids, hos.ID)
		adds[hos.ID] = hos.Address
	}
	return adds[scheduler.RankHosts("limits/"+strconv.Itoa(num), ids)[0]]
}

func (exc *Exchanger) report(ctx context.Context, address string, dems []Demand, now time.Time) {
	if address == "" {
		exc.Limiter.Learn(exc.Keeper.Report(exc.Self, dems, now), now)
		return
	}
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	rep, err := exc.Call(ctx, address, &messenger.Envelope{Body: &messenger.Envelope_DemandReport{DemandReport: &messenger.DemandReport{
		Host: exc.Self, Incarnation: exc.Incarnation, Demands: encode(dems),
	}}})
	if err == nil {
		exc.Limiter.Learn(sharesOf(rep.GetDemandReply().GetShares()), now)
	}
}

// HandleReport answers another host's report.
func (exc *Exchanger) HandleReport(rep *messenger.DemandReport, now time.Time) *messenger.Envelope {
	var dems []Demand
	for _, dem := range rep.GetDemands() {
		dems = append(dems, Demand{dem.GetTeam(), dem.GetRate()})
	}
	var shas []*messenger.TeamShare
	for _, sha := range exc.Keeper.Report(rep.GetHost(), dems, now) {
		shas = append(shas, &messenger.TeamShare{Team: sha.Team, Part: sha.Part})
	}
	return &messenger.Envelope{Body: &messenger.Envelope_DemandReply{DemandReply: &messenger.DemandReply{Shares: shas}}}
}

func encode(dems []Demand) []*messenger.TeamDemand {
	out := make([]*messenger.TeamDemand, len(dems))
	for ind, dem := range dems {
		out[ind] = &messenger.TeamDemand{Team: dem.Team, Rate: dem.Rate}
	}
	return out
}

func sharesOf(shas []*messenger.TeamShare) []Share {
	out := make([]Share, len(shas))
	for ind, sha := range shas {
		out[ind] = Share{sha.GetTeam(), sha.GetPart()}
	}
	return out
}
