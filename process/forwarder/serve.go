package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"log"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"hemlockpin/connection/acceptor"
	"hemlockpin/process/drainer"
	"hemlockpin/process/gossiper"
	"hemlockpin/process/registrar"

	"github.com/gorilla/mux"
)

const leaveTimeout = time.Second

// callerServer is the HTTP server that faces callers.
func (fwd *Forwarder) callerServer() *http.Server {
	set := fwd.Settings
	return &http.Server{
		Handler: fwd.count(fwd.relayer), ReadHeaderTimeout: min(headerTimeout, set.ReadTimeout), ReadTimeout: set.ReadTimeout,
		IdleTimeout: set.IdleTimeout, MaxHeaderBytes: set.MaxHeader, ErrorLog: log.New(serverLog{fwd}, "", 0),
	}
}

// count counts the calls in progress.
func (fwd *Forwarder) count(nex http.Handler) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, htr *http.Request) {
		fwd.inFlight.Add(1)
		defer fwd.inFlight.Add(-1)
		nex.ServeHTTP(wri, htr)
	})
}

// serverLog counts what net/http reports of connections, and logs panics.
type serverLog struct{ fwd *Forwarder }

// Write takes one line.
func (log serverLog) Write(lin []byte) (int, error) {
	if bytes.Contains(lin, []byte("panic serving")) {
		log.fwd.scope.Counter("handler_panics").Inc(1)
		log.fwd.Log.Error().Str("Panic", string(lin)).Msg("a call's handler panicked")
	} else {
		log.fwd.scope.Counter("connection_errors").Inc(1)
	}
	return len(lin), nil
}

// readyRoutes tells the platform's balancer whether the host takes calls.
func (fwd *Forwarder) readyRoutes() http.Handler {
	rou := mux.NewRouter()
	rou.PathPrefix("/").HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) {
		if why := fwd.unready(); why != "" {
			wri.WriteHeader(http.StatusServiceUnavailable)
			_, _ = wri.Write([]byte(why))
			return
		}
		wri.WriteHeader(http.StatusOK)
	})
	return rou
}

// unready returns why the host takes no calls, or nothing.
func (fwd *Forwarder) unready() string {
	_, known := fwd.registry.Revision()
	switch {
	case fwd.draining.Load():
		return "the host drains"
	case fwd.publisher.Current().Revision() == 0:
		return "the host has no tables yet"
	case !known:
		return "the host does not know the endpoints yet"
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

// status tells operators what the host believes.
func (fwd *Forwarder) status(wri http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	tab, age := fwd.publisher.Freshness(now)
	ends, rev := fwd.registry.After(0)
	out := struct {
		Host              string
		Incarnation       uint64
		NotReady          string
		Calls             int64
		StoreAnswers      bool
		TablesRevision    uint64
		TablesAgeMs       int64
		EndpointsRevision uint64
		Peers             []gossiper.Peer
		Endpoints         []registrar.Endpoint
	}{
		fwd.Settings.HostID, fwd.Incarnation, fwd.unready(), fwd.inFlight.Load(), !fwd.storeAway.Load(), tab, age.Milliseconds(),
		rev, fwd.gossiper.Peers(), ends,
	}
	wri.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(wri).Encode(out); err != nil {
		fwd.Log.Warn().Err(err).Msg("status not sent")
	}
}

// drain ends readiness, waits for the calls in progress and stops. A second
// signal, or the drain timeout, ends it at once.
func (fwd *Forwarder) drain(cal *http.Server, lis *acceptor.Listener) error {
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(again)
	var closed atomic.Bool
	err := drainer.Run(drainer.Host{
		Announce: fwd.announceDrain,
		Close: func() {
			go func() {
				lis.Drain(cal)
				closed.Store(true)
			}()
		},
		Requests: func() int {
			// A connection may hold a call that has not reached its handler.
			if num := int(fwd.inFlight.Load()); num > 0 || closed.Load() {
				return num
			}
			return 1
		},
		Writes: func() int { return 0 },
	}, drainer.Settings{Notice: fwd.Settings.DrainNotice, Timeout: fwd.Settings.DrainTimeout}, again)
	_ = cal.Close()
	fwd.Log.Info().Err(err).Int64("Calls", fwd.inFlight.Load()).Msg("host stopped")
	return err
}

func (fwd *Forwarder) announceDrain() {
	fwd.draining.Store(true)
	fwd.Log.Info().Int64("Calls", fwd.inFlight.Load()).Msg("host drains")
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), leaveTimeout)
		defer stop()
		fwd.gossiper.Leave(ctx)
	}()
}
