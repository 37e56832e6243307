package placer

import (
	"time"

	"hemlockpin/request/hasher"
)

const (
	// assumedPrefillRate stands in for an engine without a load report, in
	// tokens a second.
	assumedPrefillRate = 100_000
	// memoryDrainShare is the part of the prefill rate at which running
	// sequences give memory back.
	memoryDrainShare = 0.1
	// staleAfter is the age from which a load report counts as doubtful.
	staleAfter = 2 * time.Second
	// stalePenalty is added to the estimate of an endpoint with a doubtful
	// report.
	stalePenalty = 250 * time.Millisecond
	// callCost is the estimate for one request of a plain service.
	callCost = 10 * time.Millisecond
)

// Estimate returns the expected time to the first token on an endpoint: the
// prefill that is queued there and the request's own, less the cached blocks,
// one decoding step, and the wait for memory.
func Estimate(req Request, end *Endpoint, cachedBlocks int, now time.Time) time.Duration {
	return estimate(&req, end, cachedBlocks, now)
}

func estimate(req *Request, end *Endpoint, cachedBlocks int, now time.Time) time.Duration {
	if end.MemoryTokens == 0 && end.PrefillRate == 0 && req.PromptTokens == 0 {
		return time.Duration(end.Outstanding+1) * callCost
	}
	rat := end.PrefillRate
	if rat <= 0 {
		rat = assumedPrefillRate
	}
	ahe := max(end.QueuedTokens+end.RecentTokens, end.OutstandingTokens)
	own := max(1, req.PromptTokens-int64(cachedBlocks)*hasher.BlockTokens)
	sec := float64(ahe+own) / rat
	fre := end.MemoryTokens - end.UsedTokens - end.RecentTokens
	if def := req.Need() - fre; end.MemoryTokens > 0 && def > 0 {
		sec += float64(def) / (rat * memoryDrainShare)
	}
	est := time.Duration(sec * float64(time.Second))
	if end.Running > 0 {
		est += end.Step
	}
	if now.Sub(end.ReportedAt) > staleAfter {
		est += stalePenalty
	}
	return est
}
