package server

import (
	"net/http"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/responder"
)

// startRetryAfter is the Retry-After of answers while the host has no tables.
const startRetryAfter = time.Second

// requireTables refuses requests while the host has no tables, since it cannot check
// keys without them.
func (ser *Server) requireTables(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if ser.publisher.Current().Revision() > 0 || req.URL.Path == "/healthz" || req.URL.Path == "/readyz" {
			next.ServeHTTP(wri, req)
			return
		}
		responder.WriteProblem(wri, responder.Problem{
			Status: http.StatusServiceUnavailable, Code: "host_starting", Message: "the host has no tables yet",
			Execution: invoker.NotRun, RetryAfter: startRetryAfter,
		})
	})
}
