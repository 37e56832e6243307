package server

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"hemlockpin/connection/persister"
	"hemlockpin/process/gossiper"
	"hemlockpin/process/publisher"
	"hemlockpin/request/receiver"
	"hemlockpin/request/responder"
	"hemlockpin/version/parser"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"
)

// Status is what a host says of itself to operators.
type Status struct {
	Host            string
	DataCenter      string
	Incarnation     uint64
	Draining        bool
	Requests        int
	TablesRevision  uint64
	TablesConfirmed time.Time
	Peers           []gossiper.Peer
	Endpoints       []persister.Entry
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
	rou.HandleFunc("/v1/explain", ser.explain).Methods(http.MethodPost)
	rou.HandleFunc("/v1/drain", ser.postDrain).Methods(http.MethodPost)
	rou.HandleFunc("/v1/tables", ser.getTables).Methods(http.MethodGet)
	rou.HandleFunc("/v1/tables", ser.putTables).Methods(http.MethodPut)
	return rou
}

func (ser *Server) status(wri http.ResponseWriter, _ *http.Request) {
	responder.WriteJSON(wri, http.StatusOK, Status{
		Host: ser.Settings.HostID, DataCenter: ser.Settings.DataCenter, Incarnation: ser.Incarnation,
		Draining: ser.draining.Load(), Requests: ser.admitter.Current(),
		TablesRevision: ser.publisher.Current().Revision(), TablesConfirmed: ser.publisher.Confirmed(),
		Peers: ser.gossiper.Peers(), Endpoints: ser.watcher.Entries(),
	})
}

func writeTables(wri http.ResponseWriter, status int, tab parser.Tables) {
	wri.Header().Set("ETag", strconv.Quote(strconv.FormatUint(tab.Revision, 10)))
	responder.WriteJSON(wri, status, tab)
}

func (ser *Server) getTables(wri http.ResponseWriter, _ *http.Request) {
	writeTables(wri, http.StatusOK, ser.publisher.Current().Tables())
}

// OperatorError is the body of a refused operator request.
type OperatorError struct {
	Code    string
	Message string
	Faults  []string `json:",omitempty"`
	// Current holds the tables that won a race.
	Current *parser.Tables `json:",omitempty"`
}

func (ser *Server) putTables(wri http.ResponseWriter, req *http.Request) {
	base, err := strconv.ParseUint(strings.Trim(req.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		responder.WriteJSON(wri, http.StatusPreconditionRequired, OperatorError{Code: "if_match_missing", Message: "If-Match must name the revision that the edit is based on"})
		return
	}
	doc, err := receiver.ReadBody(req.Body, parser.MaxDocumentBytes)
	if err != nil {
		responder.WriteJSON(wri, http.StatusRequestEntityTooLarge, OperatorError{Code: "too_large", Message: err.Error()})
		return
	}
	tab, err := parser.Parse(doc)
	if err != nil {
		writeEditError(wri, tab, err)
		return
	}
	tab, err = ser.publisher.Edit(req.Context(), tab, base)
	if err != nil {
		writeEditError(wri, tab, err)
		return
	}
	ser.Log.Info().Uint64("Revision", tab.Revision).Msg("tables accepted")
	writeTables(wri, http.StatusOK, tab)
}

func writeEditError(wri http.ResponseWriter, cur parser.Tables, err error) {
	var fas *parser.FaultsError
	switch {
	case eris.As(err, &fas):
		responder.WriteJSON(wri, http.StatusUnprocessableEntity, OperatorError{Code: "rejected", Message: "the tables have faults; nothing was changed", Faults: fas.Faults})
	case eris.Is(err, publisher.ErrRaced):
		responder.WriteJSON(wri, http.StatusPreconditionFailed, OperatorError{Code: "raced", Message: err.Error(), Current: &cur})
	case eris.Is(err, publisher.ErrUnknown):
		responder.WriteJSON(wri, http.StatusGatewayTimeout, OperatorError{Code: "unknown", Message: err.Error()})
	default:
		responder.WriteJSON(wri, http.StatusServiceUnavailable, OperatorError{Code: "not_accepted", Message: err.Error()})
	}
}
