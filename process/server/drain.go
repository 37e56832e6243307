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
	leaveTimeout = time.Second
)

// countRequests counts the callers' requests in progress. While the host
// drains, it asks callers to close their connections after the answer.
func (ser *Server) countRequests(nex http.Handler) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		ser.inFlight.Add(1)
		defer ser.inFlight.Add(-1)
		if ser.draining.Load() {
			wri.Header().Set("Connection", "close")
		}
		nex.ServeHTTP(wri, req)
	})
}

// drain ends readiness, waits for the requests in progress and stops. A second
// signal, or the drain timeout, ends it at once.
func (ser *Server) drain(cal *http.Server, lis *acceptor.Listener) error {
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(again)
	var closed atomic.Bool
	err := drainer.Run(drainer.Host{
		Announce: ser.announceDrain,
		Close: func() {
			go func() {
				lis.Drain(cal)
				closed.Store(true)
			}()
		},
		Requests: func() int {
			// A connection may hold a request that has not reached its handler.
			if num := int(ser.inFlight.Load()); num > 0 || closed.Load() {
				return num
			}
			return 1
		},
		Writes: ser.pendingWrites,
	}, drainer.Settings{Notice: ser.Settings.DrainNotice, Timeout: ser.Settings.DrainTimeout}, again)
	_ = cal.Close()
	ser.executor.WaitForCleanup()
	ser.Log.Info().Err(err).Msg("host stopped")
	return err
}

func (ser *Server) announceDrain() {
	ser.draining.Store(true)
	ser.Log.Info().Int64("Requests", ser.inFlight.Load()).Msg("host drains")
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), leaveTimeout)
		defer stop()
		ser.gossiper.Leave(ctx)
	}()
}

// pendingWrites counts claimed calls whose callers have left and outcomes that
// are not yet recorded.
func (ser *Server) pendingWrites() int {
	return ser.executor.CallsInProgress() + ser.journal.Pending()
}
