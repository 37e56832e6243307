package server

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"hemlockpin/connection/acceptor"
	"hemlockpin/process/drainer"
)

const (
	// leaveTimeout bounds the broadcast to peers that this host is leaving.
	leaveTimeout = time.Second
)

// countRequests counts the callers' requests in progress. While the host drains, answers
// carry "Connection: close".
func (ser *Server) countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		ser.inFlight.Add(1)
		defer ser.inFlight.Add(-1)
		if ser.draining.Load() {
			wri.Header().Set("Connection", "close")
		}
		next.ServeHTTP(wri, req)
	})
}

// drain reports the host as not ready, waits for the requests in progress and stops
// serving. At the drain timeout the remaining requests are answered; a second signal aborts
// them.
func (ser *Server) drain(callerSrv *http.Server, lis *acceptor.Listener) error {
	furtherSignals := make(chan os.Signal, 1)
	signal.Notify(furtherSignals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(furtherSignals)
	var closed atomic.Bool
	err := drainer.Run(drainer.Host{
		Announce: ser.announceDrain,
		Gate:     &ser.drainGate,
		Close: func() {
			go func() {
				lis.Drain(callerSrv)
				closed.Store(true)
			}()
		},
		Answer: func() {
			ser.Log.Warn().Int64("Requests", ser.inFlight.Load()).Msg("drain time is over; host answers the requests that are still in progress")
		},
		Requests: func() int {
			// Until the listener is drained, a connection may hold a request that has not
			// reached its handler, so at least one request counts as in progress.
			if n := int(ser.inFlight.Load()); n > 0 || closed.Load() {
				return n
			}
			return 1
		},
		Writes: ser.backgroundWork,
	}, drainer.Settings{Notice: ser.Settings.DrainNotice, Timeout: ser.Settings.DrainTimeout}, furtherSignals)
	_ = callerSrv.Close()
	ser.executor.WaitForCleanup()
	ser.Log.Info().Err(err).Msg("host stopped")
	return err
}

func (ser *Server) announceDrain() {
	ser.draining.Store(true)
	ser.Log.Info().Int64("Requests", ser.inFlight.Load()).Msg("drain started; host reports not ready")
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), leaveTimeout)
		defer stop()
		ser.gossiper.Leave(ctx)
	}()
}

// backgroundWork counts the claimed calls in progress, also those whose callers have
// disconnected, and the outcomes that are not yet recorded in the journal.
func (ser *Server) backgroundWork() int {
	return ser.executor.CallsInProgress() + ser.journal.Settling()
}
