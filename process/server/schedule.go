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

// cellPollLimit bounds the engines whose load a host reads at each interval
// when schedulers of cells place. It keeps the view for placing without them.
const cellPollLimit = 2

// ownerInterval is the interval at which replaced hosts are looked for.
const ownerInterval = time.Second

// newAllocator joins placement with the scheduling of cells.
func (ser *Server) newAllocator(own invoker.Owner) *allocator.Allocator {
	all := &allocator.Allocator{Policy: placer.Policy(ser.Settings.Placement), Watcher: ser.watcher, Invoker: ser.invoker, Owner: own}
	ser.scheduler = &scheduler.Scheduler{
		Loader:   noticingLoader{ser.invoker, ser.watcher},
		Engines:  func(poo parser.Pool) []placer.Endpoint { return ser.watcher.Pool(poo).Endpoints },
		Pool:     func(nam string) (parser.Pool, bool) { return ser.publisher.Current().Pool(nam) },
		Interval: ser.Settings.LoadInterval, Clock: time.Now, Scope: ser.scope,
	}
	ser.cells = &allocator.Cells{
		Self: ser.Settings.HostID, Incarnation: ser.Incarnation, Region: ser.Settings.Region,
		Entries: ser.liveEntries, Caller: tracedPeers{ser.multiplexer}, Scheduler: ser.scheduler, Scope: ser.scope,
	}
	if all.Policy == placer.PolicyCell {
		ser.watcher.PollLimit = cellPollLimit
		all.Cells = ser.cells
	}
	return all
}

// farCells returns digests of cells for a host of a region.
func (ser *Server) farCells(region string, now time.Time) []*messenger.CellDigest {
	return ser.cells.OtherRegions.Outgoing(region, now)
}

func (ser *Server) takeFarCells(digs []*messenger.CellDigest, now time.Time) {
	ser.cells.OtherRegions.Take(digs, now)
}

// announceCells lets other regions know what the cells of this host can take.
func (ser *Server) announceCells(ctx context.Context) {
	tic := time.NewTicker(overflower.AnnounceInterval)
	defer tic.Stop()
	for {
		now := time.Now()
		for _, poo := range ser.publisher.Current().Tables().Pools {
			if poo.Takes(ser.Settings.Region) {
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

// newExchanger joins the limits of the teams' rates over all hosts.
func (ser *Server) newExchanger() *limiter.Exchanger {
	lim := &limiter.Limiter{}
	ser.admitter.Limiter = lim
	return &limiter.Exchanger{
		Self: ser.Settings.HostID, Incarnation: ser.Incarnation, Limiter: lim, Keeper: &limiter.Keeper{},
		Live: ser.liveHosts, Call: ser.multiplexer.Call,
	}
}

func (ser *Server) liveHosts() []limiter.Host {
	var out []limiter.Host
	for _, per := range ser.gossiper.Live(time.Now()) {
		out = append(out, limiter.Host{ID: per.ID, Address: per.Address})
	}
	return out
}

// watchOwners tells the scheduler when a host has been replaced, so that what
// its last process held is given back.
func (ser *Server) watchOwners(ctx context.Context) {
	tic := time.NewTicker(ownerInterval)
	defer tic.Stop()
	las := map[string]uint64{}
	for {
		for _, per := range ser.gossiper.Peers() {
			if old, ok := las[per.ID]; ok && per.Started > old {
				ser.scheduler.OwnerRemoved(scheduler.OwnerRemoved{Host: per.ID, Incarnation: old})
			}
			las[per.ID] = per.Started
		}
		select {
		case <-tic.C:
		case <-ctx.Done():
			return
		}
	}
}

// handleSchedule answers the calls of other hosts to the scheduler, or returns
// nil for any other call.
func (ser *Server) handleSchedule(ctx context.Context, env *messenger.Envelope) *messenger.Envelope {
	switch bod := env.GetBody().(type) {
	case *messenger.Envelope_GrantRequest:
		return ser.cells.HandleRequest(ctx, bod.GrantRequest, time.Now())
	case *messenger.Envelope_GrantNotices:
		return ser.cells.HandleNotices(bod.GrantNotices)
	case *messenger.Envelope_DemandReport:
		return ser.exchanger.HandleReport(bod.DemandReport, time.Now())
	default:
		return nil
	}
}

// liveEntries lists the live hosts that don't leave, as membership knows them.
// The platform's list lags, and a scheduler that is gone costs each request a
// time-out.
func (ser *Server) liveEntries() []persister.Entry {
	var out []persister.Entry
	for _, per := range ser.gossiper.Live(time.Now()) {
		out = append(out, persister.Entry{
			ID: per.ID, Kind: persister.KindEntry, Address: per.Address, DataCenter: per.DataCenter, Region: per.Region,
		})
	}
	return out
}
