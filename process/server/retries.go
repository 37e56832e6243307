package server

import (
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/request/budgeter"
)

// ownRetryBudget returns the unused part of this host's retry budget, for other hosts.
func (ser *Server) ownRetryBudget(now time.Time) *messenger.RetryBudget {
	return &messenger.RetryBudget{Available: float32(ser.executor.RetryBudget.Digest(now).Available)}
}

// mergePeerRetryBudget records the retry budget that another host reports, and adjusts
// this host's budget to the summary of all recent reports.
func (ser *Server) mergePeerRetryBudget(host string, bud *messenger.RetryBudget, now time.Time) {
	dig := budgeter.Digest{Available: float64(bud.GetAvailable())}
	ser.executor.RetryBudget.SetFleet(ser.peerRetryBudgets.Record(host, dig, now))
}
