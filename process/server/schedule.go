package server

import (
	"context"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/connection/messenger"
	"hemlockpin/connection/persister"
	"hemlockpin/process/allocator"
	"hemlockpin/process/limiter"
	"hemlockpin/process/overflower"
	"hemlockpin/process/scheduler"
	"hemlockpin/request/placer"
	"hemlockpin/version/parser"
)

// cellPollLimit is the number of engines whose load a host polls at each interval under
// the cell policy, where schedulers place requests. The host places requests by these
// reports only while no scheduler can be reached.
const cellPollLimit = 2

// restartCheckInterval is the interval between checks for restarted hosts.
const restartCheckInterval = time.Second

// newAllocator returns the allocator, and creates the scheduler and the cells that it
// uses under the cell policy.
func (ser *Server) newAllocator(own invoker.Owner) *allocator.Allocator {
	all := &allocator.Allocator{Policy: placer.Policy(ser.Settings.Placement), Watcher: ser.watcher, Invoker: ser.invoker, Owner: own}
	ser.scheduler = &scheduler.Scheduler{
		Loader:   recordingLoader{ser.invoker, ser.watcher},
		Engines:  func(poo parser.Pool) []placer.Endpoint { return ser.watcher.Pool(poo).Endpoints },
		Pool:     func(name string) (parser.Pool, bool) { return ser.publisher.Current().Pool(name) },
		Interval: ser.Settings.LoadInterval, Clock: time.Now, Scope: ser.scope,
	}
	ser.cells = &allocator.Cells{
		Self: ser.Settings.HostID, Incarnation: ser.Incarnation, Region: ser.Settings.Region,
		Entries: ser.liveHostEntries, Peers: tracedPeers{ser.multiplexer}, Scheduler: ser.scheduler, Scope: ser.scope,
	}
	if all.Policy == placer.PolicyCell {
		ser.watcher.PollLimit = cellPollLimit
		all.Cells = ser.cells
	}
	return all
}

// cellDigestsFor returns the digests of cells that a message to a host of the region
// carries.
func (ser *Server) cellDigestsFor(region string, now time.Time) []*messenger.CellDigest {
	return ser.cells.OtherRegions.Outgoing(region, now)
}

func (ser *Server) mergeCellDigests(digs []*messenger.CellDigest, now time.Time) {
	ser.cells.OtherRegions.Merge(digs, now)
}

// recordOwnCells records the free capacity of this host's cells, which membership messages
// carry to other regions, until ctx ends.
func (ser *Server) recordOwnCells(ctx context.Context) {
	tic := time.NewTicker(overflower.AnnounceInterval)
	defer tic.Stop()
	for {
		now := time.Now()
		for _, poo := range ser.publisher.Current().Tables().Pools {
			if poo.AcceptsOverflow(ser.Settings.Region) {
				ser.cells.RecordOwnDigests(poo.Name, len(ser.watcher.Pool(poo).Endpoints), now)
			}
		}
		select {
		case <-tic.C:
		case <-ctx.Done():
			return
		}
	}
}

// newLimitExchanger returns the exchanger that divides the rate limits of teams between
// all hosts.
func (ser *Server) newLimitExchanger() *limiter.Exchanger {
	lim := &limiter.Limiter{}
	ser.admitter.Limiter = lim
	return &limiter.Exchanger{
		Self: ser.Settings.HostID, Incarnation: ser.Incarnation, Limiter: lim, Coordinator: &limiter.Coordinator{},
		Live: ser.liveLimiterHosts, Call: ser.multiplexer.Call,
	}
}

func (ser *Server) liveLimiterHosts() []limiter.Host {
	var out []limiter.Host
	for _, per := range ser.gossiper.Live(time.Now()) {
		out = append(out, limiter.Host{ID: per.ID, Address: per.Address})
	}
	return out
}

// monitorRestarts reports restarted hosts to the scheduler, which then releases what the
// previous process of the host held, until ctx ends.
func (ser *Server) monitorRestarts(ctx context.Context) {
	tic := time.NewTicker(restartCheckInterval)
	defer tic.Stop()
	lastIncarnations := map[string]uint64{}
	for {
		for _, per := range ser.gossiper.Peers() {
			if old, ok := lastIncarnations[per.ID]; ok && per.Started > old {
				ser.scheduler.RemoveOwner(scheduler.OwnerRemoved{Host: per.ID, Incarnation: old})
			}
			lastIncarnations[per.ID] = per.Started
		}
		select {
		case <-tic.C:
		case <-ctx.Done():
			return
		}
	}
}

// handleGrantsAndLimits answers the messages of other hosts to the scheduler and to the
// exchanger of rate limits, or returns nil for any other message.
func (ser *Server) handleGrantsAndLimits(ctx context.Context, env *messenger.Envelope) *messenger.Envelope {
	switch bod := env.GetBody().(type) {
	case *messenger.Envelope_GrantRequest:
		return ser.cells.HandleRequest(ctx, bod.GrantRequest, time.Now())
	case *messenger.Envelope_GrantNotices:
		return ser.cells.HandleNotices(bod.GrantNotices)
	case *messenger.Envelope_DemandReport:
		return ser.limitExchanger.HandleReport(bod.DemandReport, time.Now())
	default:
		return nil
	}
}

// liveHostEntries returns the live hosts that are not leaving, from membership. The
// platform's list lags behind, and each request to a removed scheduler would have to
// wait for a timeout.
func (ser *Server) liveHostEntries() []persister.Entry {
	var out []persister.Entry
	for _, per := range ser.gossiper.Live(time.Now()) {
		out = append(out, persister.Entry{
			ID: per.ID, Kind: persister.KindHost, Address: per.Address, DataCenter: per.DataCenter, Region: per.Region,
		})
	}
	return out
}
