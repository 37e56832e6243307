package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"hemlockpin/connection/acceptor"
	"hemlockpin/process/drainer"
	"hemlockpin/process/gossiper"
	"hemlockpin/process/quarantiner"
	"hemlockpin/process/registrar"

	"github.com/gorilla/mux"
)

const (
	// maxInnerConns bounds the connections of the balancer, and those of operators.
	maxInnerConns = 64
	// maxInnerHeader is the limit of the headers of their requests in bytes.
	maxInnerHeader = 16 << 10
	// innerWriteTimeout bounds an answer to them, which may be all metrics, and
	// innerIdleTimeout a connection without a request.
	innerWriteTimeout = time.Minute
	innerIdleTimeout  = 2 * time.Minute
)

// leaveTimeout bounds the broadcast to peers that this host is leaving.
const leaveTimeout = time.Second

// callerServer returns the HTTP server for callers.
func (fwd *Forwarder) callerServer() *http.Server {
	set := fwd.Settings
	return &http.Server{
		Handler: acceptor.CountHeads(fwd.countCalls(fwd.relayer)), ConnState: acceptor.ConnState, ReadHeaderTimeout: min(headerTimeout, set.ReadTimeout), ReadTimeout: set.ReadTimeout,
		ConnContext: acceptor.ConnContext, IdleTimeout: set.IdleTimeout, MaxHeaderBytes: set.MaxHeader, ErrorLog: log.New(serverLog{fwd}, "", 0),
	}
}

// innerServer returns the HTTP server for the balancer or for operators.
func (fwd *Forwarder) innerServer(han http.Handler) *http.Server {
	return &http.Server{
		Handler: acceptor.CountHeads(han), ConnState: acceptor.ConnState, ConnContext: acceptor.ConnContext, MaxHeaderBytes: maxInnerHeader,
		ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout, WriteTimeout: innerWriteTimeout, IdleTimeout: innerIdleTimeout, ErrorLog: log.New(serverLog{fwd}, "", 0),
	}
}

// boundedListener bounds the connections to a port and the heads of their requests.
func (fwd *Forwarder) boundedListener(lis net.Listener, maxConns int64) *acceptor.Listener {
	return &acceptor.Listener{Listener: lis, Max: maxConns, Refused: fwd.scope.Counter("connections_refused"), Heads: &fwd.heads}
}

// countCalls counts the calls in progress.
func (fwd *Forwarder) countCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		fwd.inFlight.Add(1)
		defer fwd.inFlight.Add(-1)
		next.ServeHTTP(wri, req)
	})
}

// serverLog receives the error log of net/http. It counts and logs panics of handlers,
// and only counts all other lines.
type serverLog struct{ fwd *Forwarder }

// Write handles one line of the log.
func (log serverLog) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("panic serving")) {
		log.fwd.scope.Counter("handler_panics").Inc(1)
		log.fwd.Log.Error().Str("Panic", string(line)).Msg("handler of a call panicked; the connection is closed")
	} else {
		log.fwd.scope.Counter("connection_errors").Inc(1)
	}
	return len(line), nil
}

// readyRoutes answers the platform's load balancer with 200 if the host accepts calls,
// otherwise with 503 and the reason.
func (fwd *Forwarder) readyRoutes() http.Handler {
	rou := mux.NewRouter()
	rou.PathPrefix("/").HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) {
		if reason := fwd.notReadyReason(); reason != "" {
			wri.WriteHeader(http.StatusServiceUnavailable)
			_, _ = wri.Write([]byte(reason))
			return
		}
		wri.WriteHeader(http.StatusOK)
	})
	return rou
}

// notReadyReason returns why the host accepts no calls, or an empty string if it does.
func (fwd *Forwarder) notReadyReason() string {
	_, known := fwd.registry.Revision()
	switch {
	case fwd.draining.Load():
		return "the host drains"
	case fwd.publisher.Current().Revision() == 0:
		return "the host has no tables yet"
	case !known:
		return "the host does not know the endpoints yet"
	case fwd.quarantine.State() == quarantinesAwaited:
		return "the host does not know the quarantines of prompts yet"
	default:
		return ""
	}
}

func (fwd *Forwarder) operatorRoutes() http.Handler {
	rou := mux.NewRouter()
	rou.Handle("/metrics", fwd.metrics)
	rou.HandleFunc("/v1/status", fwd.status).Methods(http.MethodGet)
	rou.HandleFunc("/readyz", fwd.readyRoutes().ServeHTTP)
	return rou
}

// status answers operators with the host's view of tables, peers and endpoints.
func (fwd *Forwarder) status(wri http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	tablesRev, age := fwd.publisher.Freshness(now)
	ends, endpointsRev := fwd.registry.RecordsAfter(registrar.Revision{})
	evas, _, _ := fwd.registry.Evacuations()
	out := struct {
		Host              string
		Incarnation       uint64
		NotReady          string
		Calls             int64
		StoreAnswers      bool
		TablesRevision    uint64
		TablesAgeMs       int64
		EndpointsRevision uint64
		// StoreEra is the era of the store in EndpointsRevision.
		StoreEra    uint64
		Peers       []gossiper.Peer
		Endpoints   []registrar.Endpoint
		Evacuations []registrar.Evacuation
		Quarantines []quarantiner.Quarantine
		// QuarantinesMissing says that neither the store nor a peer has sent the quarantines yet.
		QuarantinesMissing bool
	}{
		fwd.Settings.HostID, fwd.Incarnation, fwd.notReadyReason(), fwd.inFlight.Load(), !fwd.storeUnavailable.Load(), tablesRev, age.Milliseconds(),
		endpointsRev.Number, endpointsRev.Era, fwd.gossiper.Peers(), ends, evas, fwd.quarantine.ledger.Everything(now).Quarantines,
		fwd.quarantine.State() != quarantinesComplete,
	}
	wri.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(wri).Encode(out); err != nil {
		fwd.Log.Warn().Err(err).Msg("writing the status to an operator failed")
	}
}

// drain reports the host as not ready, waits for the calls in progress and stops
// serving. At the drain timeout the remaining calls are answered; a second signal aborts
// them.
func (fwd *Forwarder) drain(callerSrv *http.Server, lis *acceptor.Listener) error {
	furtherSignals := make(chan os.Signal, 1)
	signal.Notify(furtherSignals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(furtherSignals)
	var closed atomic.Bool
	err := drainer.Run(drainer.Host{
		Announce: fwd.announceDrain,
		Gate:     &fwd.drainGate,
		Close: func() {
			fwd.Log.Info().Int64("Calls", fwd.inFlight.Load()).Int64("Connections", lis.Open()).Msg("notice ended; host closes its listener and sends only calls that end before the drain")
			go func() {
				lis.Drain(callerSrv)
				closed.Store(true)
			}()
		},
		Answer: func() {
			fwd.Log.Warn().Int64("Calls", fwd.inFlight.Load()).Int64("Connections", lis.Open()).Msg("drain time is over; host answers the calls that are still in progress")
		},
		Requests: func() int {
			// Until the listener is drained, a connection may hold a call that has not
			// reached its handler, so at least one call counts as in progress.
			if n := int(fwd.inFlight.Load()); n > 0 || closed.Load() {
				return n
			}
			return 1
		},
		Writes: func() int { return 0 },
	}, drainer.Settings{Notice: fwd.Settings.DrainNotice, Timeout: fwd.Settings.DrainTimeout}, furtherSignals)
	_ = callerSrv.Close()
	fwd.Log.Info().Err(err).Int64("Calls", fwd.inFlight.Load()).Msg("host stopped")
	return err
}

func (fwd *Forwarder) announceDrain() {
	fwd.draining.Store(true)
	fwd.Log.Info().Int64("Calls", fwd.inFlight.Load()).Msg("drain started; host reports not ready")
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), leaveTimeout)
		defer stop()
		fwd.gossiper.Leave(ctx)
	}()
}
