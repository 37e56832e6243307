package server

import (
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/request/budgeter"
)

// retries returns what the host's retry budget has left, for other hosts.
func (ser *Server) retries(now time.Time) *messenger.RetryBudget {
	return &messenger.RetryBudget{Available: float32(ser.executor.Retries.Digest(now).Available)}
}

// takeRetries lets the host's budget follow those of other hosts.
func (ser *Server) takeRetries(host string, ret *messenger.RetryBudget, now time.Time) {
	dig := budgeter.Digest{Available: float64(ret.GetAvailable())}
	ser.executor.Retries.SetFleet(ser.budgets.Record(host, dig, now))
}
