package server

import (
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/request/budgeter"
)

// retryBudget returns the unused part of this host's retry budget, for other hosts.
func (ser *Server) retryBudget(now time.Time) *messenger.RetryBudget {
	return &messenger.RetryBudget{Available: float32(ser.executor.RetryBudget.Digest(now).Available)}
}

// applyRetryBudget records the retry budget that another host reports and adjusts this
// host's budget to those of all hosts.
func (ser *Server) applyRetryBudget(host string, bud *messenger.RetryBudget, now time.Time) {
	dig := budgeter.Digest{Available: float64(bud.GetAvailable())}
	ser.executor.RetryBudget.SetFleet(ser.budgets.Record(host, dig, now))
}
