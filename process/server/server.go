// Package server runs an entry host that schedules requests itself: it reads prompts and
// calls, places them on engines and services, journals repeatable calls, and serves peers
// and operators.
package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hemlockpin/connection/acceptor"
	"hemlockpin/connection/counter"
	"hemlockpin/connection/invoker"
	"hemlockpin/connection/multiplexer"
	"hemlockpin/connection/persister"
	"hemlockpin/process/allocator"
	"hemlockpin/process/configurer"
	"hemlockpin/process/drainer"
	"hemlockpin/process/gossiper"
	"hemlockpin/process/incarnator"
	"hemlockpin/process/journaler"
	"hemlockpin/process/limiter"
	"hemlockpin/process/lister"
	"hemlockpin/process/measurer"
	"hemlockpin/process/publisher"
	"hemlockpin/process/reclaimer"
	"hemlockpin/process/scheduler"
	"hemlockpin/process/watcher"
	"hemlockpin/request/admitter"
	"hemlockpin/request/budgeter"
	"hemlockpin/request/executor"
	"hemlockpin/request/receiver"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel"
)

// headerTimeout bounds the time for reading the header of a request.
const headerTimeout = 10 * time.Second

// Server is one entry host.
type Server struct {
	Settings    configurer.Settings
	Log         zerolog.Logger
	Incarnation uint64

	scope            tally.Scope
	metrics          http.Handler
	invoker          *invoker.Invoker
	persister        *persister.Persister
	multiplexer      *multiplexer.Multiplexer
	publisher        *publisher.Publisher
	gossiper         *gossiper.Gossiper
	refresher        *publisher.Refresher
	lister           *lister.Lister
	watcher          *watcher.Watcher
	journal          *journaler.Journal
	admitter         *admitter.Admitter
	allocator        *allocator.Allocator
	executor         *executor.Executor
	reclaimer        *reclaimer.Runner
	meter            *meter
	bodyMemory       receiver.MemoryBudget
	scheduler        *scheduler.Scheduler
	cells            *allocator.Cells
	limitExchanger   *limiter.Exchanger
	peerRetryBudgets budgeter.Peers
	draining         atomic.Bool
	drainGate        drainer.Gate
	inFlight         atomic.Int64
	started          time.Time

	platformTraffic counter.Traffic
	// requestDrain starts a drain, as SIGTERM does. Run sets it.
	requestDrain context.CancelFunc
}

// ChooseIncarnation returns the incarnation of a host that starts now. It asks peers for
// the highest incarnation that they have seen of this host.
func ChooseIncarnation(ctx context.Context, set configurer.Settings, now time.Time) uint64 {
	mul := &multiplexer.Multiplexer{}
	defer mul.Close()
	per := &persister.Persister{BaseURL: set.Platform, Region: set.Region}
	return (&incarnator.Incarnator{Host: set.HostID, Seeds: set.SeedPeers, Entries: per.Entries, Call: mul.Call}).Choose(ctx, now)
}

// New returns a host that is ready to Run.
func New(set configurer.Settings, log zerolog.Logger, incarnation uint64, now time.Time) *Server {
	ser := &Server{Settings: set, Log: log, Incarnation: incarnation, started: now}
	ser.scope, ser.metrics = measurer.New(log)
	own := invoker.Owner{Host: set.HostID, Incarnation: ser.Incarnation}
	ser.meter = newMeter(ser.scope)
	ser.bodyMemory.MaxBytes = set.BodyMemoryLimit()
	ser.invoker = &invoker.Invoker{Memory: &ser.bodyMemory}
	ser.persister = ser.newPersister()
	ser.publisher = &publisher.Publisher{Store: ser.persister}
	ser.lister = ser.newLister()
	ser.watcher = &watcher.Watcher{Lister: ser.lister, Loader: summaryLoader{ser.invoker}}
	ser.admitter = &admitter.Admitter{MaxRequests: set.MaxRequests}
	ser.multiplexer = &multiplexer.Multiplexer{Handler: ser.handlePeerTraced, OnPanic: ser.logPanic}
	ser.initGossiper()
	ser.journal = ser.newJournal()
	ser.allocator = ser.newAllocator(own)
	ser.limitExchanger = ser.newLimitExchanger()
	ser.executor = &executor.Executor{
		Owner: own, Invoker: ser.invoker, Admitter: ser.admitter, Claims: tracedClaims{ser.journal}, Clock: time.Now, Scope: ser.scope,
		Tracer: otel.Tracer("hemlockpin"), MaxBodyBytes: set.MaxBodyBytes, Memory: &ser.bodyMemory,
		Allocator: tracedAllocator{ser.allocator}, Drain: &ser.drainGate,
	}
	ser.reclaimer = ser.newReclaimer(own)
	return ser
}

// Run serves until ctx ends, then drains. It returns an error if an address cannot be
// listened on or if the drain aborts requests in progress.
func (ser *Server) Run(ctx context.Context) error {
	ctx, ser.requestDrain = context.WithCancel(ctx)
	defer ser.requestDrain()
	listeners, err := ser.listen()
	if err != nil {
		return err
	}
	// The background work goes on while the host drains.
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	var gro sync.WaitGroup
	gro.Go(func() { ser.watcher.PollList(workCtx, ser.Settings.ListInterval) })
	gro.Go(func() { ser.watcher.PollLoads(workCtx, ser.Settings.LoadInterval) })
	gro.Go(func() { ser.gossiper.Run(workCtx, ser.Settings.Heartbeat) })
	gro.Go(func() { ser.reclaimer.Run(workCtx, reclaimInterval) })
	gro.Go(func() { ser.scheduler.Run(workCtx) })
	gro.Go(func() { ser.cells.Run(workCtx) })
	gro.Go(func() { ser.recordOwnCells(workCtx) })
	gro.Go(func() { ser.limitExchanger.Run(workCtx) })
	gro.Go(func() { ser.monitorRestarts(workCtx) })
	gro.Go(func() { ser.refresher.Run(workCtx) })
	gro.Go(func() { ser.monitor(workCtx) })
	gro.Go(func() { _ = ser.multiplexer.Serve(listeners.peer) })
	callerSrv := ser.callerServer(ser.countRequests(ser.edge(ser.callerRoutes())))
	operatorSrv := ser.operatorServer()
	heads := &acceptor.HeadBudget{MaxFields: ser.Settings.HeaderFields, MaxBytes: ser.Settings.HeaderMemoryLimit(), Scope: ser.scope}
	lis := &acceptor.Listener{Listener: listeners.caller, Max: ser.Settings.CallerConnLimit(), Refused: ser.scope.Counter("connections_refused"), Heads: heads}
	operatorLis := &acceptor.Listener{Listener: listeners.operator, Max: maxOperatorConns, Refused: ser.scope.Counter("connections_refused"), Heads: heads}
	gro.Go(func() { _ = callerSrv.Serve(lis) })
	gro.Go(func() { _ = operatorSrv.Serve(operatorLis) })
	ser.Log.Info().Str("Listen", ser.Settings.Listen).Msg("host started")
	<-ctx.Done()
	err = ser.drain(callerSrv, lis)
	_ = operatorSrv.Close()
	stopWork()
	_ = listeners.peer.Close()
	ser.multiplexer.Close()
	gro.Wait()
	return err
}

type listenerSet struct{ caller, peer, operator net.Listener }

func (ser *Server) listen() (listenerSet, error) {
	var listeners listenerSet
	targets := []struct {
		lis  *net.Listener
		addr string
	}{{&listeners.caller, ser.Settings.Listen}, {&listeners.peer, ser.Settings.PeerListen}, {&listeners.operator, ser.Settings.Operator}}
	for _, target := range targets {
		lis, err := net.Listen("tcp", target.addr)
		if err != nil {
			return listeners, eris.Wrapf(err, "Server.listen: listen on %s", target.addr)
		}
		*target.lis = lis
	}
	return listeners, nil
}
