package server

import (
	"log"
	"net/http"
	"net/http/pprof"
	"time"

	"hemlockpin/connection/persister"
	"hemlockpin/process/gossiper"
	"hemlockpin/request/responder"

	"github.com/gorilla/mux"
)

const (
	operatorTimeout     = time.Minute
	operatorIdleTimeout = 2 * time.Minute
)

// Status is the state that a host reports of itself to operators.
type Status struct {
	Host            string
	DataCenter      string
	Incarnation     uint64
	Draining        bool
	Requests        int
	TablesRevision  uint64
	TablesConfirmed time.Time
	// TablesAgeMs is the time since the store last confirmed the tables, directly or
	// through peers.
	TablesAgeMs int64
	// TablesWatched reports whether the host watches the store.
	TablesWatched bool
	Peers         []gossiper.Peer
	Endpoints     []persister.Entry
}

// operatorServer returns the HTTP server for operators and the collector of metrics.
func (ser *Server) operatorServer() *http.Server {
	return &http.Server{
		Handler: ser.operatorRoutes(), ReadHeaderTimeout: headerTimeout, ReadTimeout: operatorTimeout,
		WriteTimeout: operatorTimeout, IdleTimeout: operatorIdleTimeout, ErrorLog: log.New(serverLog{ser}, "", 0),
	}
}

func (ser *Server) operatorRoutes() http.Handler {
	rou := mux.NewRouter()
	rou.Handle("/metrics", ser.metrics)
	rou.HandleFunc("/healthz", func(wri http.ResponseWriter, _ *http.Request) { wri.WriteHeader(http.StatusOK) })
	rou.HandleFunc("/readyz", ser.ready)
	rou.HandleFunc("/v1/status", ser.status).Methods(http.MethodGet)
	rou.HandleFunc("/v1/usage", ser.usage).Methods(http.MethodGet)
	rou.HandleFunc("/v1/status/hosts", ser.statusHosts).Methods(http.MethodGet)
	rou.HandleFunc("/v1/status/endpoints", ser.statusEndpoints).Methods(http.MethodGet)
	rou.HandleFunc("/v1/status/teams", ser.statusTeams).Methods(http.MethodGet)
	rou.HandleFunc("/v1/explain", ser.explain).Methods(http.MethodPost)
	rou.HandleFunc("/v1/drain", ser.postDrain).Methods(http.MethodPost)
	rou.HandleFunc("/debug/pprof/profile", pprof.Profile).Methods(http.MethodGet)
	rou.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index).Methods(http.MethodGet)
	ser.tablesRoutes(rou)
	ser.orderRoutes(rou)
	return rou
}

func (ser *Server) status(wri http.ResponseWriter, _ *http.Request) {
	_, age := ser.publisher.Freshness(time.Now())
	responder.WriteJSON(wri, http.StatusOK, Status{
		Host: ser.Settings.HostID, DataCenter: ser.Settings.DataCenter, Incarnation: ser.Incarnation,
		Draining: ser.draining.Load(), Requests: ser.admitter.InProgress(),
		TablesRevision: ser.publisher.Current().Revision(), TablesConfirmed: ser.publisher.Confirmed(),
		TablesAgeMs: age.Milliseconds(), TablesWatched: ser.refresher.Watches(),
		Peers: ser.gossiper.Peers(), Endpoints: ser.watcher.Entries(),
	})
}
