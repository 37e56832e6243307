package server

import (
	"bytes"
	"errors"
	"log"
	"net/http"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/receiver"
	"hemlockpin/request/responder"

	"github.com/rotisserie/eris"
)

// edge guards the callers' routes: it checks headers before anything is read,
// bounds the memory of bodies and the time of slow readers, and counts the
// outcome of every request.
func (ser *Server) edge(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, htr *http.Request) {
		if htr.URL.Path == "/healthz" || htr.URL.Path == "/readyz" {
			next.ServeHTTP(wri, htr)
			return
		}
		beg := time.Now()
		rec := &responder.Recorder{ResponseWriter: wri, Clock: time.Now, WriteTimeout: ser.Settings.WriteTimeout, Interval: ser.meter.interval}
		bod := receiver.NewBody(htr.Body, &ser.bodies, htr.ContentLength, ser.Settings.MaxBodyBytes)
		// net/http looks at the body of its own request, so that stays as it is.
		htr = htr.WithContext(htr.Context())
		htr.Body = bod
		defer bod.Release()
		defer func() { ser.meter.observe(rec, beg, time.Now()) }()
		if err := receiver.ValidateHeaders(htr.Header, beg); err != nil {
			writeBadRequest(rec, err)
			return
		}
		next.ServeHTTP(rec, htr)
	})
}

func writeBadRequest(wri http.ResponseWriter, err error) {
	pro := responder.Problem{Status: http.StatusBadRequest, Code: "bad_request", Message: err.Error(), Ran: invoker.NotRun}
	var bad *receiver.BadRequestError
	if eris.As(err, &bad) {
		pro = responder.Problem{Status: bad.Status, Code: bad.Code, Param: bad.Param, Message: bad.Message, Ran: invoker.NotRun, RetryAfter: bad.RetryAfter}
	}
	responder.WriteProblem(wri, pro)
}

// wrongMethod answers a known path that was called by another method.
func wrongMethod(allowed string) http.HandlerFunc {
	return func(wri http.ResponseWriter, htr *http.Request) {
		wri.Header().Set("Allow", allowed)
		responder.WriteProblem(wri, responder.Problem{
			Status: http.StatusMethodNotAllowed, Code: "method_not_allowed",
			Message: htr.URL.Path + " takes " + allowed + " only", Ran: invoker.NotRun,
		})
	}
}

// gone reports whether the caller could not be written to.
func gone(rec *responder.Recorder) bool {
	return rec.Err != nil && !errors.Is(rec.Err, http.ErrBodyNotAllowed)
}

// callerServer is the HTTP server that faces callers.
func (ser *Server) callerServer(han http.Handler) *http.Server {
	return &http.Server{
		Handler: han, ReadHeaderTimeout: min(headerTimeout, ser.Settings.ReadTimeout), ReadTimeout: ser.Settings.ReadTimeout,
		IdleTimeout: ser.Settings.IdleTimeout, MaxHeaderBytes: ser.Settings.MaxHeader, ErrorLog: log.New(serverLog{ser}, "", 0),
		ConnContext: boundCaller,
	}
}

// serverLog counts what net/http reports, a line for each broken connection,
// and logs only panics of handlers.
type serverLog struct{ ser *Server }

// Write takes one line.
func (log serverLog) Write(lin []byte) (int, error) {
	if bytes.Contains(lin, []byte("panic serving")) {
		log.ser.scope.Counter("handler_panics").Inc(1)
		log.ser.Log.Error().Str("Panic", string(lin)).Msg("a request's handler panicked")
	} else {
		log.ser.scope.Counter("connection_errors").Inc(1)
	}
	return len(lin), nil
}
