package server

import (
	"bytes"
	"errors"
	"log"
	"net/http"
	"time"

	"hemlockpin/connection/acceptor"
	"hemlockpin/connection/invoker"
	"hemlockpin/request/receiver"
	"hemlockpin/request/responder"

	"github.com/rotisserie/eris"
)

// edge wraps the callers' routes. It validates headers before the body is read, bounds
// the memory of request bodies and the time for writing to slow readers, and counts the
// outcome of every request.
func (ser *Server) edge(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/healthz" || req.URL.Path == "/readyz" {
			next.ServeHTTP(wri, req)
			return
		}
		began := time.Now()
		rec := &responder.Recorder{ResponseWriter: wri, Clock: time.Now, WriteTimeout: ser.Settings.WriteTimeout, OnWriteInterval: ser.meter.recordTokenInterval}
		bod := receiver.NewBody(req.Body, &ser.bodyMemory, req.ContentLength, ser.Settings.MaxBodyBytes)
		// net/http inspects the body of its own request, so the wrapped body goes into a
		// copy of the request.
		req = req.WithContext(req.Context())
		req.Body = bod
		defer bod.Release()
		defer func() { ser.meter.observe(rec, began, time.Now()) }()
		if err := receiver.ValidateHeaders(req.Header, began); err != nil {
			writeBadRequest(rec, err)
			return
		}
		next.ServeHTTP(rec, req)
	})
}

func writeBadRequest(wri http.ResponseWriter, err error) {
	pro := responder.Problem{Status: http.StatusBadRequest, Code: "bad_request", Message: err.Error(), Execution: invoker.NotRun}
	var bad *receiver.RefusalError
	if eris.As(err, &bad) {
		pro = responder.Problem{Status: bad.Status, Code: bad.Code, Param: bad.Param, Message: bad.Message, Execution: invoker.NotRun, RetryAfter: bad.RetryAfter}
	}
	responder.WriteProblem(wri, pro)
}

// wrongMethod refuses a request for a known path with a method that it does not allow.
func wrongMethod(allowed string) http.HandlerFunc {
	return func(wri http.ResponseWriter, req *http.Request) {
		wri.Header().Set("Allow", allowed)
		responder.WriteProblem(wri, responder.Problem{
			Status: http.StatusMethodNotAllowed, Code: "method_not_allowed",
			Message: req.URL.Path + " takes " + allowed + " only", Execution: invoker.NotRun,
		})
	}
}

// writeFailed reports whether writing the answer to the caller failed.
func writeFailed(rec *responder.Recorder) bool {
	return rec.Err != nil && !errors.Is(rec.Err, http.ErrBodyNotAllowed)
}

// callerServer returns the HTTP server for callers.
func (ser *Server) callerServer(han http.Handler) *http.Server {
	return &http.Server{
		Handler: acceptor.CountHeads(han), ConnState: acceptor.ConnState, ReadHeaderTimeout: min(headerTimeout, ser.Settings.ReadTimeout), ReadTimeout: ser.Settings.ReadTimeout,
		IdleTimeout: ser.Settings.IdleTimeout, MaxHeaderBytes: ser.Settings.MaxHeader, ErrorLog: log.New(serverLog{ser}, "", 0),
		ConnContext: callerContext,
	}
}

// serverLog receives the error log of net/http. It logs panics of handlers, and only
// counts all other lines: net/http writes one for each broken connection.
type serverLog struct{ ser *Server }

// Write handles one line of the log.
func (log serverLog) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("panic serving")) {
		log.ser.scope.Counter("handler_panics").Inc(1)
		log.ser.Log.Error().Str("Panic", string(line)).Msg("handler of a request panicked; the connection is closed")
	} else {
		log.ser.scope.Counter("connection_errors").Inc(1)
	}
	return len(line), nil
}
