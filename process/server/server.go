// Package server joins the parts of an entry host and serves callers, peers and
// operators.
package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/connection/messenger"
	"hemlockpin/connection/multiplexer"
	"hemlockpin/connection/persister"
	"hemlockpin/process/allocator"
	"hemlockpin/process/configurer"
	"hemlockpin/process/gossiper"
	"hemlockpin/process/journaler"
	"hemlockpin/process/publisher"
	"hemlockpin/process/scheduler"
	"hemlockpin/process/watcher"
	"hemlockpin/request/admitter"
	"hemlockpin/request/executor"
	"hemlockpin/request/receiver"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel"
)

const (
	headerTimeout   = 10 * time.Second
	refreshInterval = time.Second
	refreshTimeout  = 2 * time.Second
	// balancerNotice is how long a draining host still takes requests, so that
	// the balancer can see that it is not ready.
	balancerNotice = 500 * time.Millisecond
)

// Server is one entry host.
type Server struct {
	Settings    configurer.Settings
	Log         zerolog.Logger
	Incarnation uint64

	scope       tally.Scope
	metrics     http.Handler
	invoker     *invoker.Invoker
	persister   *persister.Persister
	multiplexer *multiplexer.Multiplexer
	publisher   *publisher.Publisher
	gossiper    *gossiper.Gossiper
	watcher     *watcher.Watcher
	journal     *journaler.Journal
	admitter    *admitter.Admitter
	allocator   *allocator.Allocator
	executor    *executor.Executor
	meter       *meter
	bodies      receiver.Budget
	scheduler   *scheduler.Scheduler
	cells       *allocator.Cells
	draining    atomic.Bool
	started     time.Time
	// requestDrain has the effect of SIGTERM. It is set by Run.
	requestDrain context.CancelFunc
}

// New joins the parts of a host.
func New(set configurer.Settings, log zerolog.Logger, now time.Time) *Server {
	ser := &Server{Settings: set, Log: log, Incarnation: uint64(now.UnixNano()), started: now}
	ser.scope, ser.metrics = newScope(log)
	own := invoker.Owner{Host: set.HostID, Incarnation: ser.Incarnation}
	ser.meter = newMeter(ser.scope)
	ser.bodies.MaxBytes = set.MaxBodyMemory
	ser.invoker = &invoker.Invoker{}
	ser.persister = &persister.Persister{BaseURL: set.Platform}
	ser.publisher = &publisher.Publisher{Store: ser.persister}
	ser.watcher = &watcher.Watcher{Lister: ser.persister, Loader: ser.invoker}
	ser.admitter = &admitter.Admitter{MaxRequests: set.MaxRequests}
	ser.multiplexer = &multiplexer.Multiplexer{Handler: ser.servePeer}
	ser.gossiper = &gossiper.Gossiper{
		Self:        &messenger.Member{Id: set.HostID, Address: set.PeerListen, DataCenter: set.DataCenter, Incarnation: ser.Incarnation},
		Multiplexer: ser.multiplexer, Publisher: ser.publisher, Entries: ser.watcher.Entries,
	}
	ser.journal = ser.newJournal()
	ser.publisher.Push = func(pus *messenger.TablesPush) { ser.gossiper.Push(context.Background(), pus) }
	ser.allocator = ser.newAllocator(own)
	ser.executor = &executor.Executor{
		Owner: own, Invoker: ser.invoker, Admitter: ser.admitter, Claims: tracedClaims{ser.journal}, Clock: time.Now, Scope: ser.scope,
		Tracer: otel.Tracer("hemlockpin"), MaxBodyBytes: set.MaxBodyBytes,
		Allocator: tracedAllocator{ser.allocator},
	}
	return ser
}

// Run serves until ctx ends, then drains.
func (ser *Server) Run(ctx context.Context) error {
	ctx, ser.requestDrain = context.WithCancel(ctx)
	defer ser.requestDrain()
	liss, err := ser.listen()
	if err != nil {
		return err
	}
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var gro sync.WaitGroup
	gro.Go(func() { ser.watcher.RunList(work, ser.Settings.ListInterval) })
	gro.Go(func() { ser.watcher.RunLoads(work, ser.Settings.LoadInterval) })
	gro.Go(func() { ser.gossiper.Run(work, ser.Settings.Heartbeat) })
	gro.Go(func() { ser.scheduler.Run(work) })
	gro.Go(func() { ser.cells.Run(work) })
	gro.Go(func() { ser.refresh(work) })
	gro.Go(func() { ser.monitor(work) })
	gro.Go(func() { _ = ser.multiplexer.Serve(liss.peer) })
	cal := ser.callerServer(ser.edge(ser.callerRoutes()))
	ope := &http.Server{Handler: ser.operatorRoutes(), ReadHeaderTimeout: headerTimeout}
	gro.Go(func() {
		_ = cal.Serve(&limitedListener{Listener: liss.caller, max: int64(ser.Settings.MaxConns), refused: ser.scope.Counter("connections_refused")})
	})
	gro.Go(func() { _ = ope.Serve(liss.operator) })
	ser.Log.Info().Str("Host", ser.Settings.HostID).Str("Listen", ser.Settings.Listen).Msg("host started")
	<-ctx.Done()
	err = ser.drain(cal)
	_ = ope.Close()
	stop()
	_ = liss.peer.Close()
	ser.multiplexer.Close()
	gro.Wait()
	return err
}

// drain ends readiness, waits for the requests in progress and stops.
func (ser *Server) drain(cal *http.Server) error {
	ser.draining.Store(true)
	ser.Log.Info().Int("Requests", ser.admitter.Current()).Msg("host drains")
	time.Sleep(balancerNotice)
	ctx, stop := context.WithTimeout(context.Background(), ser.Settings.DrainTimeout)
	defer stop()
	err := cal.Shutdown(ctx)
	ser.executor.Settle()
	ser.awaitClaims(ctx)
	ser.Log.Info().Err(err).Msg("host stopped")
	return eris.Wrap(err, "Server.drain: requests in progress at the drain time-out")
}

type listeners struct{ caller, peer, operator net.Listener }

func (ser *Server) listen() (listeners, error) {
	var liss listeners
	outs := []struct {
		lis  *net.Listener
		addr string
	}{{&liss.caller, ser.Settings.Listen}, {&liss.peer, ser.Settings.PeerListen}, {&liss.operator, ser.Settings.Operator}}
	for _, out := range outs {
		lis, err := net.Listen("tcp", out.addr)
		if err != nil {
			return liss, eris.Wrapf(err, "Server.listen: %s", out.addr)
		}
		*out.lis = lis
	}
	return liss, nil
}

func (ser *Server) refresh(ctx context.Context) {
	tic := time.NewTicker(refreshInterval)
	defer tic.Stop()
	for {
		one, stop := context.WithTimeout(ctx, refreshTimeout)
		if err := ser.publisher.Refresh(one, time.Now()); err != nil {
			ser.scope.Counter("tables_refresh_failed").Inc(1)
		}
		stop()
		select {
		case <-tic.C:
		case <-ctx.Done():
			return
		}
	}
}

func (ser *Server) handlePeer(ctx context.Context, env *messenger.Envelope) *messenger.Envelope {
	switch bod := env.GetBody().(type) {
	case *messenger.Envelope_Ping:
		return ser.gossiper.HandlePing(bod.Ping, time.Now())
	case *messenger.Envelope_TablesPull:
		pus, err := ser.publisher.Offer()
		if err != nil {
			return messenger.NewFailure("internal", err.Error())
		}
		return &messenger.Envelope{Body: &messenger.Envelope_TablesPush{TablesPush: pus}}
	case *messenger.Envelope_TablesPush:
		if err := ser.publisher.Receive(bod.TablesPush); err != nil {
			return messenger.NewFailure("bad_tables", err.Error())
		}
		return &messenger.Envelope{Body: &messenger.Envelope_TablesAck{TablesAck: &messenger.TablesAck{Revision: ser.publisher.Current().Revision()}}}
	case *messenger.Envelope_ClaimCommit:
		return &messenger.Envelope{Body: &messenger.Envelope_ClaimResult{ClaimResult: ser.journal.Write(ctx, bod.ClaimCommit)}}
	case *messenger.Envelope_StatusQuery:
		return &messenger.Envelope{Body: &messenger.Envelope_StatusReport{StatusReport: ser.report()}}
	case *messenger.Envelope_DrainOrder:
		return ser.handleDrain(bod.DrainOrder)
	default:
		if rep := ser.handleSchedule(ctx, env); rep != nil {
			return rep
		}
		return messenger.NewFailure("unknown_message", "this host does not know the message")
	}
}
