// Package forwarder runs an entry host that forwards calls unchanged to the
// endpoints of a platform.
package forwarder

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hemlockpin/connection/acceptor"
	"hemlockpin/connection/counter"
	"hemlockpin/connection/exchanger"
	"hemlockpin/connection/messenger"
	"hemlockpin/connection/multiplexer"
	"hemlockpin/connection/persister"
	"hemlockpin/process/assigner"
	"hemlockpin/process/configurer"
	"hemlockpin/process/detector"
	"hemlockpin/process/drainer"
	"hemlockpin/process/follower"
	"hemlockpin/process/gossiper"
	"hemlockpin/process/incarnator"
	"hemlockpin/process/measurer"
	"hemlockpin/process/planner"
	"hemlockpin/process/publisher"
	"hemlockpin/process/registrar"
	"hemlockpin/process/throttler"
	"hemlockpin/request/budgeter"
	"hemlockpin/request/receiver"
	"hemlockpin/request/relayer"
	"hemlockpin/version/parser"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel"
)

// headerTimeout bounds the time for reading the header of a request.
const headerTimeout = 10 * time.Second

// EngineClient reads load reports of engines and reserves memory on them.
type EngineClient interface {
	planner.Loader
	assigner.Reserver
}

// Platform is the part of a platform's adapter that a host uses.
type Platform struct {
	Source       follower.Source
	Codec        relayer.Codec
	EngineClient EngineClient
	// Quarantines keeps quarantines of prompts; nil to keep them in the hosts only.
	Quarantines QuarantineStore
	// Evacuations tells which data centres the operator evacuates; nil for none.
	Evacuations follower.EvacuationSource
}

// Forwarder is one entry host.
type Forwarder struct {
	Settings    configurer.Settings
	Platform    Platform
	Log         zerolog.Logger
	Incarnation uint64

	scope       tally.Scope
	metrics     http.Handler
	multiplexer *multiplexer.Multiplexer
	publisher   *publisher.Publisher
	gossiper    *gossiper.Gossiper
	registry    registrar.Registry
	follower    *follower.Follower
	// planRunner plans the pools of which this host is the planner. planners sends
	// requests to the planner of each pool.
	planRunner       *planner.Runner
	planners         *assigner.Planners
	relayer          *relayer.Relayer
	retryBudget      *budgeter.Quota
	bodyMemory       receiver.MemoryBudget
	heads            acceptor.HeadBudget
	endpointTraffic  counter.Traffic
	draining         atomic.Bool
	drainGate        drainer.Gate
	inFlight         atomic.Int64
	pullingEndpoints atomic.Bool
	storeUnavailable atomic.Bool
	started          time.Time
	watcherCache     watcherCache
	detector         detector.Detector
	quarantine       quarantineSync
	throttler        throttler.Throttler
	permits          *assigner.Permits
	holds            assigner.Holds
	// ready is closed once the host has tables and the list of endpoints.
	ready     chan struct{}
	readyOnce sync.Once
	// updatesMu guards updates, the changes of endpoints that are not yet broadcast to
	// peers.
	updatesMu sync.Mutex
	updates   []registrar.Endpoint
	invalid   invalidLog
	// requestDrain ends the context of Run, which sets requestDrain.
	requestDrain context.CancelFunc
}

// ChooseIncarnation returns the incarnation of a host that starts now. It asks the
// seed peers for the highest incarnation that they have seen of this host.
func ChooseIncarnation(ctx context.Context, set configurer.Settings, now time.Time) uint64 {
	mul := &multiplexer.Multiplexer{}
	defer mul.Close()
	noEntries := func(context.Context) ([]persister.Entry, error) { return nil, nil }
	return (&incarnator.Incarnator{Host: set.HostID, Seeds: set.SeedPeers, Entries: noEntries, Call: mul.Call}).Choose(ctx, now)
}

// New returns a host that is ready to Run.
func New(set configurer.Settings, pla Platform, log zerolog.Logger, incarnation uint64) *Forwarder {
	fwd := &Forwarder{Settings: set, Platform: pla, Log: log, Incarnation: incarnation, started: time.Now(), ready: make(chan struct{})}
	fwd.scope, fwd.metrics = measurer.New(log)
	fwd.bodyMemory.MaxBytes = set.BodyMemoryLimit()
	fwd.registry.LeaveWithin = set.LeaveWithin
	fwd.publisher = &publisher.Publisher{}
	fwd.multiplexer = &multiplexer.Multiplexer{Handler: fwd.handlePeer, OnPanic: fwd.logPanic, MaxAccepted: set.PeerConnLimit(), Refused: fwd.scope.Counter("peers_refused")}
	fwd.heads.MaxFields, fwd.heads.MaxBytes, fwd.heads.Scope = set.HeaderFields, set.HeaderMemoryLimit(), fwd.scope
	fwd.initGossiper()
	fwd.quarantine.learned = make(chan struct{}, 1)
	fwd.quarantine.stateSince = fwd.started
	if pla.Quarantines == nil {
		fwd.quarantine.Advance(quarantinesComplete, fwd.started)
	}
	fwd.quarantine.ledger.OnChange, fwd.quarantine.ledger.Log = fwd.shareQuarantines, log
	fwd.follower = &follower.Follower{
		Source: pla.Source, Wait: fwd.watchWait(), ShouldRead: fwd.shouldReadStore, OnTables: fwd.applyTables, OnEndpoints: fwd.applyEndpoints, OnUnavailable: fwd.setStoreUnavailable, OnAvailable: fwd.setStoreAvailable, Log: log,
	}
	fwd.followEvacuations()
	fwd.planRunner = &planner.Runner{
		Loader: pla.EngineClient, Engines: fwd.engines, Pool: fwd.pool, Skip: fwd.skipReport, Interval: set.LoadInterval, FarPrice: set.FarPrice, Clock: time.Now, Log: log, Scope: fwd.scope,
	}
	fwd.planners = &assigner.Planners{
		Self: set.HostID, Incarnation: incarnation, Address: set.PeerListen, CapacityMilli: capacityMilli(set), Live: fwd.gossiper.Live, Leaving: fwd.draining.Load, Peers: fwd.multiplexer,
		Runner: fwd.planRunner, DataCenter: set.DataCenter, Clock: time.Now, Log: log,
	}
	fwd.throttler.OnChange, fwd.throttler.Log = fwd.shareLimits, log
	fwd.permits = &assigner.Permits{
		Self: set.HostID, Throttler: &fwd.throttler, Live: fwd.gossiper.Live, Leaving: fwd.draining.Load, Peers: fwd.multiplexer, ColdRate: fwd.coldRate, Log: log,
	}
	fwd.retryBudget = &budgeter.Quota{
		Limits: budgeter.QuotaLimits{Ratio: set.RetryRatio, Slack: set.RetrySlack, Window: set.RetryWindow},
		Hosts:  func() int { return len(fwd.gossiper.Live(time.Now())) + 1 },
	}
	fwd.relayer = &relayer.Relayer{
		Codec: pla.Codec, Tables: fwd.publisher.Current, Exchanger: &exchanger.Exchanger{Traffic: &fwd.endpointTraffic, Memory: &fwd.bodyMemory}, RetryBudget: fwd.retryBudget,
		Placer: &assigner.Assigner{
			Registry: &fwd.registry, Pool: fwd.pool, Planners: fwd.planners, Reserver: pla.EngineClient, DataCenter: set.DataCenter, Permits: fwd.permits, Holds: &fwd.holds, OnLeaving: fwd.markLeaving, Clock: time.Now, Log: log,
		},
		Quarantine: &fwd.quarantine.ledger,
		Bodies:     &fwd.bodyMemory, Ready: fwd.ready, Stale: fwd.staleSinceResume, SuspendedFor: fwd.suspendedTime, Drain: &fwd.drainGate, MaxBodyBytes: set.MaxBodyBytes, WriteTimeout: set.WriteTimeout, Clock: time.Now, Log: log, Scope: fwd.scope,
		Tracer: otel.Tracer("hemlockpin"),
	}
	return fwd
}

// capacityMilli returns the processor time of the host in thousandths of a core.
func capacityMilli(set configurer.Settings) uint32 { return uint32(set.CPUShare * 1000) }

// pool finds a pool in the tables in force.
func (fwd *Forwarder) pool(name string) (parser.Pool, bool) {
	return fwd.publisher.Current().Pool(name)
}

// engines returns the engines of a pool that accept new requests.
func (fwd *Forwarder) engines(poo parser.Pool, now time.Time) []planner.Engine {
	var out []planner.Engine
	cold := 0
	for _, end := range fwd.registry.Usable(poo.Selector.Service, now) {
		col := fwd.coldLimitIn(poo, end.ID, now)
		if col.Cold() {
			cold++
		}
		lim := fwd.throttler.Limit(end.ID)
		out = append(out, planner.Engine{
			ID: end.ID, Address: end.Address, Started: end.Started, Limited: lim.InForce(), Limit: assigner.PlanLimit(lim), Cold: assigner.PlanColdLimit(col), DataCenter: end.DataCenter,
		})
	}
	if poo.ColdRate > 0 {
		fwd.scope.Tagged(map[string]string{"pool": poo.Name}).Gauge("cold_engines").Update(float64(cold))
	}
	return out
}

// coldLimitIn returns the limit of an endpoint of a pool if it is cold.
func (fwd *Forwarder) coldLimitIn(poo parser.Pool, endpoint string, now time.Time) throttler.ColdLimit {
	if poo.ColdRate <= 0 || !fwd.registry.Cold(endpoint, time.Duration(poo.ColdStart), now) {
		return throttler.ColdLimit{}
	}
	return throttler.NewColdLimit(poo.ColdRate, float64(fwd.Settings.ColdOverage), float64(fwd.Settings.ColdSlack))
}

// coldRate returns the calls a second that an endpoint takes if it is cold, and otherwise 0.
func (fwd *Forwarder) coldRate(endpoint string, now time.Time) float64 {
	end, ok := fwd.registry.Find(endpoint, now)
	if !ok {
		return 0
	}
	poo, ok := fwd.pool(end.Service)
	if !ok {
		return 0
	}
	return fwd.coldLimitIn(poo, endpoint, now).Rate
}

// skipReport reports whether an engine wants nothing of this host for a time.
func (fwd *Forwarder) skipReport(eng planner.Engine, now time.Time) bool {
	return fwd.holds.Left(registrar.Endpoint{ID: eng.ID, Started: eng.Started}, now) > 0
}

// Run serves until ctx ends, then drains. It returns an error if an address cannot
// be listened on or if the drain aborts calls in progress.
func (fwd *Forwarder) Run(ctx context.Context) error {
	ctx, fwd.requestDrain = context.WithCancel(ctx)
	defer fwd.requestDrain()
	listeners, err := fwd.listen()
	if err != nil {
		return err
	}
	// The background work goes on while the host drains.
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	var gro sync.WaitGroup
	gro.Go(func() { _ = fwd.multiplexer.Serve(listeners.peer) })
	gro.Go(func() { fwd.followStore(workCtx) })
	gro.Go(func() { fwd.gossiper.Run(workCtx, fwd.Settings.Heartbeat) })
	gro.Go(func() { fwd.planRunner.Run(workCtx) })
	gro.Go(func() { fwd.monitorHosts(workCtx) })
	gro.Go(func() { fwd.pollWatchers(workCtx) })
	callerSrv := fwd.callerServer()
	lis := fwd.boundedListener(listeners.caller, fwd.Settings.CallerConnLimit())
	httpServers := []*http.Server{fwd.innerServer(fwd.readyRoutes()), fwd.innerServer(fwd.operatorRoutes())}
	gro.Go(func() { _ = callerSrv.Serve(lis) })
	gro.Go(func() { _ = httpServers[0].Serve(fwd.boundedListener(listeners.ready, maxInnerConns)) })
	gro.Go(func() { _ = httpServers[1].Serve(fwd.boundedListener(listeners.operator, maxInnerConns)) })
	fwd.Log.Info().Str("DataCenter", fwd.Settings.DataCenter).Str("Listen", fwd.Settings.Listen).
		Uint64("Incarnation", fwd.Incarnation).Msg("host started")
	<-ctx.Done()
	err = fwd.drain(callerSrv, lis)
	for _, srv := range httpServers {
		_ = srv.Close()
	}
	stopWork()
	_ = listeners.peer.Close()
	fwd.multiplexer.Close()
	gro.Wait()
	return err
}

type listenerSet struct{ caller, ready, peer, operator net.Listener }

func (fwd *Forwarder) listen() (listenerSet, error) {
	var listeners listenerSet
	set := fwd.Settings
	targets := []struct {
		lis  *net.Listener
		addr string
	}{{&listeners.caller, set.Listen}, {&listeners.ready, set.ReadyListen}, {&listeners.peer, set.PeerListen}, {&listeners.operator, set.Operator}}
	for _, target := range targets {
		lis, err := net.Listen("tcp", target.addr)
		if err != nil {
			return listeners, eris.Wrapf(err, "Forwarder.listen: listen on %s", target.addr)
		}
		*target.lis = lis
	}
	return listeners, nil
}

// Reload applies the settings that can change while the host runs: the seed peers and
// the retry budget.
func (fwd *Forwarder) Reload(set configurer.Settings) {
	fwd.gossiper.SetSeeds(set.SeedPeers)
	fwd.retryBudget.SetLimits(budgeter.QuotaLimits{Ratio: set.RetryRatio, Slack: set.RetrySlack, Window: set.RetryWindow})
	fwd.Log.Info().Strs("SeedPeers", set.SeedPeers).Float64("RetryRatio", set.RetryRatio).Float64("RetrySlack", set.RetrySlack).
		Dur("RetryWindowMs", set.RetryWindow).Msg("settings reloaded")
}

// logPanic counts and logs a panic in the handler of a peer's message.
func (fwd *Forwarder) logPanic(env *messenger.Envelope, cause any, stack []byte) {
	fwd.scope.Counter("handler_panics").Inc(1)
	fwd.Log.Error().Type("Message", env.GetBody()).Interface("Panic", cause).Str("Stack", string(stack)).Msg("handler of a peer's message panicked; the message is not answered")
}

// handlePeer answers one message of another host.
func (fwd *Forwarder) handlePeer(ctx context.Context, env *messenger.Envelope) *messenger.Envelope {
	now := time.Now()
	switch bod := env.GetBody().(type) {
	case *messenger.Envelope_PlanRequest:
		return fwd.planners.HandleRequest(ctx, bod.PlanRequest, now)
	case *messenger.Envelope_PlanNotices:
		return fwd.planners.HandleNotices(bod.PlanNotices)
	case *messenger.Envelope_Ping:
		return fwd.gossiper.HandlePing(ctx, bod.Ping, now)
	case *messenger.Envelope_PingIndirect:
		return fwd.gossiper.HandlePingIndirect(ctx, bod.PingIndirect)
	case *messenger.Envelope_MembersPull:
		return fwd.gossiper.HandleMembersPull(ctx, bod.MembersPull, now)
	case *messenger.Envelope_TablesPull:
		return fwd.gossiper.HandleTablesPull(bod.TablesPull)
	case *messenger.Envelope_TablesPush:
		return fwd.gossiper.HandleTablesPush(bod.TablesPush)
	case *messenger.Envelope_EndpointsPush:
		return fwd.handleEndpointsPush(bod.EndpointsPush, now)
	case *messenger.Envelope_EndpointsPull:
		return fwd.handleEndpointsPull(bod.EndpointsPull)
	case *messenger.Envelope_LimitsPush:
		return fwd.handleLimitsPush(bod.LimitsPush, now)
	case *messenger.Envelope_PermitRequest:
		return fwd.permits.HandlePermit(bod.PermitRequest, now)
	case *messenger.Envelope_QuarantinePush:
		return fwd.handleQuarantinePush(bod.QuarantinePush, now)
	case *messenger.Envelope_QuarantinePull:
		return fwd.handleQuarantinePull(now)
	default:
		return messenger.NewFailure("unknown_message", "this host does not know the message")
	}
}
