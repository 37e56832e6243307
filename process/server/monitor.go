package server

import (
	"context"
	"time"
)

const (
	monitorInterval = time.Second
)

// monitor updates the gauges, and logs when the tables become stale and when they are
// confirmed again, until ctx ends.
func (ser *Server) monitor(ctx context.Context) {
	tic := time.NewTicker(monitorInterval)
	defer tic.Stop()
	var sta monitorState
	for {
		select {
		case now := <-tic.C:
			ser.updateGauges()
			ser.updateControlGauges(now)
			sta = ser.logStaleTables(sta, now)
		case <-ctx.Done():
			return
		}
	}
}

func (ser *Server) updateGauges() {
	ser.scope.Gauge("requests_in_progress").Update(float64(ser.admitter.InProgress()))
	ser.scope.Gauge("endpoints_listed").Update(float64(len(ser.watcher.Entries())))
	ser.scope.Gauge("body_memory_bytes").Update(float64(ser.bodyMemory.Reserved()))
	ser.scope.Gauge("draining").Update(boolGauge(ser.draining.Load()))
}

func boolGauge(val bool) float64 {
	if val {
		return 1
	}
	return 0
}

// monitorState is the state that was last logged.
type monitorState struct{ stale bool }

func (ser *Server) logStaleTables(sta monitorState, now time.Time) monitorState {
	rev, age := ser.publisher.Freshness(now)
	if rev == 0 || (age >= staleAfter) == sta.stale {
		return sta
	}
	sta.stale = !sta.stale
	if sta.stale {
		ser.Log.Warn().Dur("AgeMs", age).Uint64("Revision", rev).Msg("tables no longer confirmed by the platform or by peers; serving with stale tables")
	} else {
		ser.Log.Info().Uint64("Revision", rev).Msg("tables are confirmed again")
	}
	return sta
}
