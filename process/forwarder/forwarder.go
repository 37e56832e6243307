// Package forwarder joins the parts of an entry host that forwards calls
// unchanged to the endpoints of a platform.
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
	"hemlockpin/process/follower"
	"hemlockpin/process/gossiper"
	"hemlockpin/process/incarnator"
	"hemlockpin/process/measurer"
	"hemlockpin/process/planner"
	"hemlockpin/process/publisher"
	"hemlockpin/process/registrar"
	"hemlockpin/request/budgeter"
	"hemlockpin/request/receiver"
	"hemlockpin/request/relayer"
	"hemlockpin/version/parser"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel"
)

// headerTimeout bounds the head of a request to the operators' address.
const headerTimeout = 10 * time.Second

// Engines reads and orders engines.
type Engines interface {
	planner.Loader
	assigner.Reserver
}

// Platform is what a host needs of the platform's adapter.
type Platform struct {
	Source  follower.Source
	Codec   relayer.Codec
	Engines Engines
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
	runner      *planner.Runner
	planners    *assigner.Planners
	relayer     *relayer.Relayer
	quota       *budgeter.Quota
	bodies      receiver.Budget
	endpoints   counter.Traffic
	draining    atomic.Bool
	inFlight    atomic.Int64
	pulling     atomic.Bool
	storeAway   atomic.Bool
	started     time.Time
	watching    watchers
	detector    detector.Detector
	// ready is closed once the host has tables and knows the endpoints.
	ready     chan struct{}
	readyOnce sync.Once
	// news is what was learned of endpoints and waits to be passed on.
	newsMu sync.Mutex
	news   []registrar.Endpoint
	// requestDrain has the effect of SIGTERM. It is set by Run.
	requestDrain context.CancelFunc
}

// Incarnation chooses the incarnation of a host that starts now.
func Incarnation(ctx context.Context, set configurer.Settings, now time.Time) uint64 {
	mul := &multiplexer.Multiplexer{}
	defer mul.Close()
	none := func(context.Context) ([]persister.Entry, error) { return nil, nil }
	return (&incarnator.Incarnator{Host: set.HostID, Seeds: set.SeedPeers, Entries: none, Call: mul.Call}).Choose(ctx, now)
}

// New joins the parts of a host.
func New(set configurer.Settings, pla Platform, log zerolog.Logger, incarnation uint64) *Forwarder {
	fwd := &Forwarder{Settings: set, Platform: pla, Log: log, Incarnation: incarnation, started: time.Now(), ready: make(chan struct{})}
	fwd.scope, fwd.metrics = measurer.New(log)
	fwd.bodies.MaxBytes = set.BodyBytes()
	fwd.publisher = &publisher.Publisher{}
	fwd.multiplexer = &multiplexer.Multiplexer{Handler: fwd.handlePeer, Panicked: fwd.notePanic}
	fwd.joinPeers()
	fwd.follower = &follower.Follower{
		Source: pla.Source, Wait: fwd.watchWait(), Duty: fwd.duty, TakeTables: fwd.takeTables, TakeEndpoints: fwd.takeEndpoints, Away: fwd.away, Back: fwd.back, Log: log,
	}
	fwd.runner = &planner.Runner{
		Loader: pla.Engines, Engines: fwd.engines, Pool: fwd.pool, Interval: set.LoadInterval, Clock: time.Now, Log: log, Scope: fwd.scope,
	}
	fwd.planners = &assigner.Planners{
		Self: set.HostID, Incarnation: incarnation, Address: set.PeerListen, CapacityMilli: capacityMilli(set), Live: fwd.gossiper.Live, Leaving: fwd.draining.Load, Caller: fwd.multiplexer,
		Runner: fwd.runner, Clock: time.Now, Log: log,
	}
	fwd.quota = &budgeter.Quota{
		Terms: budgeter.Terms{Ratio: set.RetryRatio, Slack: set.RetrySlack, Window: set.RetryWindow},
		Hosts: func() int { return len(fwd.gossiper.Live(time.Now())) + 1 },
	}
	fwd.relayer = &relayer.Relayer{
		Codec: pla.Codec, Tables: fwd.publisher.Current, Exchanger: &exchanger.Exchanger{Traffic: &fwd.endpoints}, Budget: fwd.quota,
		Placer: &assigner.Assigner{
			Registry: &fwd.registry, Pool: fwd.pool, Planners: fwd.planners, Reserver: pla.Engines, DataCenter: set.DataCenter, Clock: time.Now, Log: log,
		},
		Bodies: &fwd.bodies, Ready: fwd.ready, Stale: fwd.staleSinceWake, Slept: fwd.slept, Draining: fwd.draining.Load, MaxBodyBytes: set.MaxBodyBytes, Clock: time.Now, Log: log, Scope: fwd.scope,
		Tracer: otel.Tracer("hemlockpin"),
	}
	return fwd
}

// capacityMilli is the processor time of the host in thousandths of a core.
func capacityMilli(set configurer.Settings) uint32 { return uint32(set.CPUShare * 1000) }

// pool finds a pool in the tables in force.
func (fwd *Forwarder) pool(name string) (parser.Pool, bool) {
	return fwd.publisher.Current().Pool(name)
}

// engines lists the engines of a pool that may get new requests.
func (fwd *Forwarder) engines(poo parser.Pool, now time.Time) []planner.Engine {
	var out []planner.Engine
	for _, end := range fwd.registry.Usable(poo.Selector.Service, now) {
		out = append(out, planner.Engine{ID: end.ID, Address: end.Address, Started: end.Started})
	}
	return out
}

// Run serves until ctx ends, then drains.
func (fwd *Forwarder) Run(ctx context.Context) error {
	ctx, fwd.requestDrain = context.WithCancel(ctx)
	defer fwd.requestDrain()
	liss, err := fwd.listen()
	if err != nil {
		return err
	}
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var gro sync.WaitGroup
	gro.Go(func() { _ = fwd.multiplexer.Serve(liss.peer) })
	gro.Go(func() { fwd.follow(work) })
	gro.Go(func() { fwd.gossiper.Run(work, fwd.Settings.Heartbeat) })
	gro.Go(func() { fwd.runner.Run(work) })
	gro.Go(func() { fwd.watchHosts(work) })
	gro.Go(func() { fwd.askWatchers(work) })
	cal := fwd.callerServer()
	lis := &acceptor.Listener{Listener: liss.caller, Max: fwd.Settings.CallerConns(), Refused: fwd.scope.Counter("connections_refused")}
	sers := []*http.Server{{Handler: fwd.readyRoutes(), ReadHeaderTimeout: headerTimeout}, {Handler: fwd.operatorRoutes(), ReadHeaderTimeout: headerTimeout}}
	gro.Go(func() { _ = cal.Serve(lis) })
	gro.Go(func() { _ = sers[0].Serve(liss.ready) })
	gro.Go(func() { _ = sers[1].Serve(liss.operator) })
	fwd.Log.Info().Str("DataCenter", fwd.Settings.DataCenter).Str("Listen", fwd.Settings.Listen).
		Uint64("Incarnation", fwd.Incarnation).Msg("host started")
	<-ctx.Done()
	err = fwd.drain(cal, lis)
	for _, ser := range sers {
		_ = ser.Close()
	}
	stop()
	_ = liss.peer.Close()
	fwd.multiplexer.Close()
	gro.Wait()
	return err
}

type listeners struct{ caller, ready, peer, operator net.Listener }

func (fwd *Forwarder) listen() (listeners, error) {
	var liss listeners
	set := fwd.Settings
	outs := []struct {
		lis  *net.Listener
		addr string
	}{{&liss.caller, set.Listen}, {&liss.ready, set.ReadyListen}, {&liss.peer, set.PeerListen}, {&liss.operator, set.Operator}}
	for _, out := range outs {
		lis, err := net.Listen("tcp", out.addr)
		if err != nil {
			return liss, eris.Wrapf(err, "Forwarder.listen: %s", out.addr)
		}
		*out.lis = lis
	}
	return liss, nil
}

// Reload takes over those settings that can change while the host runs.
func (fwd *Forwarder) Reload(set configurer.Settings) {
	fwd.gossiper.SetSeeds(set.SeedPeers)
	fwd.quota.SetTerms(budgeter.Terms{Ratio: set.RetryRatio, Slack: set.RetrySlack, Window: set.RetryWindow})
	fwd.Log.Info().Strs("SeedPeers", set.SeedPeers).Float64("RetryRatio", set.RetryRatio).Float64("RetrySlack", set.RetrySlack).
		Dur("RetryWindowMs", set.RetryWindow).Msg("settings reloaded")
}

// notePanic logs a message of a peer that could not be answered.
func (fwd *Forwarder) notePanic(env *messenger.Envelope, cause any, stack []byte) {
	fwd.scope.Counter("handler_panics").Inc(1)
	fwd.Log.Error().Type("Message", env.GetBody()).Interface("Panic", cause).Str("Stack", string(stack)).Msg("a peer's message could not be answered")
}

// handlePeer answers one call of another host.
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
		return fwd.receiveEndpoints(bod.EndpointsPush, now)
	case *messenger.Envelope_EndpointsPull:
		return fwd.offerEndpoints(bod.EndpointsPull)
	default:
		return messenger.NewFailure("unknown_message", "this host does not know the message")
	}
}
