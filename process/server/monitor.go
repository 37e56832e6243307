package server

import (
	"context"
	"time"
)

const (
	monitorInterval = time.Second
	// storeSilence is how long the tables may go unconfirmed before the host
	// says so.
	storeSilence = staleAfter
)

// monitor sets the gauges and logs changes of state until ctx ends.
func (ser *Server) monitor(ctx context.Context) {
	tic := time.NewTicker(monitorInterval)
	defer tic.Stop()
	var sta monitorState
	for {
		select {
		case now := <-tic.C:
			ser.gauge(now)
			sta = ser.logChanges(sta, now)
		case <-ctx.Done():
			return
		}
	}
}

func (ser *Server) gauge(now time.Time) {
	ser.scope.Gauge("tables_revision").Update(float64(ser.publisher.Current().Revision()))
	ser.scope.Gauge("tables_age_seconds").Update(now.Sub(ser.publisher.Confirmed()).Seconds())
	ser.scope.Gauge("requests_in_progress").Update(float64(ser.admitter.Current()))
	ser.scope.Gauge("peers_known").Update(float64(len(ser.gossiper.Peers())))
	ser.scope.Gauge("endpoints_listed").Update(float64(len(ser.watcher.Entries())))
	ser.scope.Gauge("body_memory_bytes").Update(float64(ser.bodies.Used()))
	ser.gaugePeers(now)
	ser.scope.Gauge("draining").Update(boolGauge(ser.draining.Load()))
}

func boolGauge(val bool) float64 {
	if val {
		return 1
	}
	return 0
}

// monitorState is what was last logged.
type monitorState struct {
	revision uint64
	stale    bool
}

func (ser *Server) logChanges(sta monitorState, now time.Time) monitorState {
	if rev := ser.publisher.Current().Revision(); rev != sta.revision {
		ser.Log.Info().Uint64("Revision", rev).Msg("tables in force")
		sta.revision = rev
	}
	age := now.Sub(ser.publisher.Confirmed())
	if sta.revision == 0 || (age > storeSilence) == sta.stale {
		return sta
	}
	sta.stale = !sta.stale
	if sta.stale {
		ser.Log.Warn().Dur("AgeMs", age).Uint64("Revision", sta.revision).Msg("tables are not confirmed by the platform or a peer")
	} else {
		ser.Log.Info().Uint64("Revision", sta.revision).Msg("tables are confirmed again")
	}
	return sta
}
