package server

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"hemlockpin/connection/acceptor"
	"hemlockpin/connection/invoker"
	"hemlockpin/request/receiver"
	"hemlockpin/request/responder"
	"hemlockpin/version/matcher"

	"github.com/gorilla/mux"
)

// callerBufferBytes bounds the part of an answer that the kernel buffers for a caller
// that does not read it.
const callerBufferBytes = 64 << 10

// callerContext limits the write buffer of a caller's connection, and keeps the connection in
// the contexts of its requests.
func callerContext(ctx context.Context, con net.Conn) context.Context {
	if buffered, ok := con.(interface{ SetWriteBuffer(size int) error }); ok {
		_ = buffered.SetWriteBuffer(callerBufferBytes)
	}
	return acceptor.ConnContext(ctx, con)
}

func (ser *Server) callerRoutes() http.Handler {
	rou := mux.NewRouter().SkipClean(true)
	rou.Use(ser.requireTables)
	rou.HandleFunc("/healthz", func(wri http.ResponseWriter, _ *http.Request) { wri.WriteHeader(http.StatusOK) })
	rou.HandleFunc("/readyz", ser.serveReady)
	rou.HandleFunc("/v1/chat/completions", ser.servePrompt(true)).Methods(http.MethodPost)
	rou.HandleFunc("/v1/completions", ser.servePrompt(false)).Methods(http.MethodPost)
	rou.HandleFunc("/v1/models", ser.serveModels).Methods(http.MethodGet)
	rou.HandleFunc("/v1/chat/completions", wrongMethod(http.MethodPost))
	rou.HandleFunc("/v1/completions", wrongMethod(http.MethodPost))
	rou.HandleFunc("/v1/models", wrongMethod(http.MethodGet))
	rou.PathPrefix("/").HandlerFunc(ser.serveCall)
	return rou
}

// serveReady answers the load balancer with 200 if the host accepts requests, otherwise with
// 503 and the reason.
func (ser *Server) serveReady(wri http.ResponseWriter, _ *http.Request) {
	reason := ser.notReadyReason()
	if reason == "" {
		wri.WriteHeader(http.StatusOK)
		return
	}
	responder.WriteJSON(wri, http.StatusServiceUnavailable, struct{ NotReady string }{reason})
}

// notReadyReason returns why the host accepts no requests, or an empty string if it does.
func (ser *Server) notReadyReason() string {
	switch {
	case ser.draining.Load():
		return "the host drains"
	case ser.publisher.Current().Revision() == 0:
		return "the host has no tables yet"
	case !ser.gossiper.Joined():
		return "the host has not joined the others yet"
	default:
		return ""
	}
}

// pinTables returns the tables to use throughout a request, and adds their
// revision, and their age if they may be stale, to the headers of the answer.
func (ser *Server) pinTables(wri http.ResponseWriter) *matcher.Matcher {
	mat := ser.publisher.Current()
	wri.Header().Set(responder.RevisionHeader, strconv.FormatUint(mat.Revision(), 10))
	ser.setTablesAge(wri.Header(), time.Now())
	return mat
}

func (ser *Server) servePrompt(chat bool) http.HandlerFunc {
	return func(wri http.ResponseWriter, req *http.Request) {
		ctx, spa := ser.startSpan(req, "prompt")
		defer endRequest(spa, wri)
		ser.executor.Generate(ctx, wri, req, ser.pinTables(wri), chat)
	}
}

func (ser *Server) serveCall(wri http.ResponseWriter, req *http.Request) {
	ctx, spa := ser.startSpan(req, "call")
	defer endRequest(spa, wri)
	ser.executor.Call(ctx, wri, req, ser.pinTables(wri))
}

func (ser *Server) serveModels(wri http.ResponseWriter, req *http.Request) {
	mat := ser.pinTables(wri)
	key, err := receiver.BearerKey(req.Header)
	tea, ok := mat.Team(key)
	if err != nil || !ok {
		responder.WriteProblem(wri, responder.Problem{Status: http.StatusUnauthorized, Code: "invalid_api_key", Message: "a known bearer key is required", Execution: invoker.NotRun})
		return
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	mods := []model{}
	for _, name := range mat.Models(tea.Name) {
		mods = append(mods, model{name, "model", ser.started.Unix(), "hemlockpin"})
	}
	responder.WriteJSON(wri, http.StatusOK, struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", mods})
}
