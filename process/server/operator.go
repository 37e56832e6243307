package server

import (
	"log"
	"net/http"
	"net/http/pprof"
	"time"

	"hemlockpin/connection/acceptor"
	"hemlockpin/connection/persister"
	"hemlockpin/process/gossiper"
	"hemlockpin/request/responder"

	"github.com/gorilla/mux"
)

const (
	// operatorTimeout bounds reading an operator's request, and writing its answer, which
	// may be a profile of many seconds.
	operatorTimeout = time.Minute
	// operatorIdleTimeout bounds how long an idle connection is kept.
	operatorIdleTimeout = 2 * time.Minute
	// maxOperatorConns bounds the connections of operators and collectors of metrics.
	maxOperatorConns = 256
)

// Status is the answer to GET /v1/status: the state of this host, and its view of peers
// and endpoints.
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
		Handler: acceptor.CountHeads(ser.operatorRoutes()), ConnState: acceptor.ConnState, ConnContext: acceptor.ConnContext, ReadHeaderTimeout: headerTimeout, ReadTimeout: operatorTimeout,
		WriteTimeout: operatorTimeout, IdleTimeout: operatorIdleTimeout, ErrorLog: log.New(serverLog{ser}, "", 0),
	}
}

func (ser *Server) operatorRoutes() http.Handler {
	rou := mux.NewRouter()
	rou.Handle("/metrics", ser.metrics)
	rou.HandleFunc("/healthz", func(wri http.ResponseWriter, _ *http.Request) { wri.WriteHeader(http.StatusOK) })
	rou.HandleFunc("/readyz", ser.serveReady)
	rou.HandleFunc("/v1/status", ser.getStatus).Methods(http.MethodGet)
	rou.HandleFunc("/v1/usage", ser.getUsage).Methods(http.MethodGet)
	rou.HandleFunc("/v1/status/hosts", ser.getHostStatuses).Methods(http.MethodGet)
	rou.HandleFunc("/v1/status/endpoints", ser.getEndpointStatuses).Methods(http.MethodGet)
	rou.HandleFunc("/v1/status/teams", ser.getTeamStatuses).Methods(http.MethodGet)
	rou.HandleFunc("/v1/explain", ser.postExplain).Methods(http.MethodPost)
	rou.HandleFunc("/v1/drain", ser.postDrain).Methods(http.MethodPost)
	rou.HandleFunc("/debug/pprof/profile", pprof.Profile).Methods(http.MethodGet)
	rou.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index).Methods(http.MethodGet)
	ser.addTablesRoutes(rou)
	ser.addOrderRoutes(rou)
	return rou
}

func (ser *Server) getStatus(wri http.ResponseWriter, _ *http.Request) {
	_, age := ser.publisher.Freshness(time.Now())
	responder.WriteJSON(wri, http.StatusOK, Status{
		Host: ser.Settings.HostID, DataCenter: ser.Settings.DataCenter, Incarnation: ser.Incarnation,
		Draining: ser.draining.Load(), Requests: ser.admitter.InProgress(),
		TablesRevision: ser.publisher.Current().Revision(), TablesConfirmed: ser.publisher.Confirmed(),
		TablesAgeMs: age.Milliseconds(), TablesWatched: ser.refresher.Watches(),
		Peers: ser.gossiper.Peers(), Endpoints: ser.watcher.Entries(),
	})
}
