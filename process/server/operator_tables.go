package server

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"hemlockpin/connection/persister"
	"hemlockpin/process/publisher"
	"hemlockpin/request/receiver"
	"hemlockpin/request/responder"
	"hemlockpin/version/parser"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"
)

func (ser *Server) addTablesRoutes(rou *mux.Router) {
	rou.HandleFunc("/v1/tables", ser.getTables).Methods(http.MethodGet)
	rou.HandleFunc("/v1/tables", ser.putTables).Methods(http.MethodPut)
	rou.HandleFunc("/v1/tables/history", ser.getHistory).Methods(http.MethodGet)
	rou.HandleFunc("/v1/tables/history/{revision:[0-9]+}", ser.getRevision).Methods(http.MethodGet)
}

func writeTables(wri http.ResponseWriter, status int, tab parser.Tables) {
	wri.Header().Set("ETag", strconv.Quote(strconv.FormatUint(tab.Revision, 10)))
	responder.WriteJSON(wri, status, tab)
}

func (ser *Server) getTables(wri http.ResponseWriter, _ *http.Request) {
	ser.setTablesAge(wri.Header(), time.Now())
	writeTables(wri, http.StatusOK, ser.publisher.Current().Tables())
}

func (ser *Server) getHistory(wri http.ResponseWriter, _ *http.Request) {
	responder.WriteJSON(wri, http.StatusOK, ser.publisher.History())
}

func (ser *Server) getRevision(wri http.ResponseWriter, req *http.Request) {
	rev, err := strconv.ParseUint(mux.Vars(req)["revision"], 10, 64)
	if err != nil {
		responder.WriteJSON(wri, http.StatusBadRequest, OperatorError{Code: "bad_revision", Message: err.Error()})
		return
	}
	tab, err := ser.publisher.ReadRevision(req.Context(), rev)
	switch {
	case eris.Is(err, persister.ErrNotFound):
		responder.WriteJSON(wri, http.StatusNotFound, OperatorError{Code: "unknown_revision", Message: "no such revision is kept"})
	case err != nil:
		responder.WriteJSON(wri, http.StatusServiceUnavailable, OperatorError{Code: "store_unavailable", Message: err.Error()})
	default:
		writeTables(wri, http.StatusOK, tab)
	}
}

// OperatorError is the body of the answer to an operator's request that failed.
type OperatorError struct {
	Code    string
	Message string
	Faults  []string `json:",omitempty"`
	// Current holds the tables in force if another edit was accepted first.
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
	edit, err := ser.publisher.Edit(req.Context(), tab, base, time.Now())
	if err != nil {
		ser.scope.Tagged(map[string]string{"result": string(edit.Result)}).Counter("tables_edits").Inc(1)
		writeEditError(wri, edit.Tables, err)
		return
	}
	ser.writeAccepted(wri, edit)
}

// writeAccepted answers an accepted edit. The status is 202 if peers were asked to apply
// the edit and none is known to have applied it: the edit would be lost if this host and
// the store failed now. A host that asked no peers answers 200.
func (ser *Server) writeAccepted(wri http.ResponseWriter, edit publisher.Finish) {
	ser.scope.Tagged(map[string]string{"result": string(edit.Result)}).Counter("tables_edits").Inc(1)
	ser.Log.Info().Uint64("Revision", edit.Tables.Revision).Int("InForce", edit.InForce).Msg("tables accepted")
	wri.Header().Set(responder.InForceHeader, strconv.Itoa(edit.InForce))
	status := http.StatusOK
	if edit.Offered > 0 && edit.InForce < 2 {
		status = http.StatusAccepted
	}
	writeTables(wri, status, edit.Tables)
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
	case eris.Is(err, persister.ErrTooLarge):
		responder.WriteJSON(wri, http.StatusRequestEntityTooLarge, OperatorError{Code: "too_large", Message: err.Error()})
	default:
		responder.WriteJSON(wri, http.StatusServiceUnavailable, OperatorError{Code: "not_accepted", Message: err.Error()})
	}
}
