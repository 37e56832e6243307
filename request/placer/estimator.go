package placer

import (
	"time"

	"hemlockpin/request/hasher"
)

const (
	// assumedPrefillRate is the prefill rate, in tokens a second, of an engine without
	// a load report.
	assumedPrefillRate = 100_000
	// memoryReleaseShare is the rate at which running sequences free memory, as a share
	// of the prefill rate.
	memoryReleaseShare = 0.1
	// staleAfter is the age from which a load report counts as stale.
	staleAfter = 2 * time.Second
	// stalePenalty is added to the estimate of an endpoint with a stale report.
	stalePenalty = 250 * time.Millisecond
	// callTime is the estimated time of one request to a plain service.
	callTime = 10 * time.Millisecond
)

// Estimate returns the expected time to the first token on an endpoint. It is the sum
// of the prefill time of the queued prompts and of the request without its cached
// blocks, one decode step if sequences are running, the wait for memory, and
// stalePenalty if the load report is stale. For plain services it is callTime for the
// request and for each outstanding one.
func Estimate(req Request, end *Endpoint, cachedBlocks int, now time.Time) time.Duration {
	return estimate(&req, end, cachedBlocks, now)
}

func estimate(req *Request, end *Endpoint, cachedBlocks int, now time.Time) time.Duration {
	if end.MemoryTokens == 0 && end.PrefillRate == 0 && req.PromptTokens == 0 {
		return time.Duration(end.Outstanding+1) * callTime
	}
	rate := end.PrefillRate
	if rate <= 0 {
		rate = assumedPrefillRate
	}
	queued := max(end.QueuedTokens+end.RecentTokens, end.OutstandingTokens)
	ownTokens := max(1, req.PromptTokens-int64(cachedBlocks)*hasher.BlockTokens)
	seconds := float64(queued+ownTokens) / rate
	free := end.MemoryTokens - end.UsedTokens - end.RecentTokens
	if missing := req.Need() - free; end.MemoryTokens > 0 && missing > 0 {
		seconds += float64(missing) / (rate * memoryReleaseShare)
	}
	estimated := time.Duration(seconds * float64(time.Second))
	if end.Running > 0 {
		estimated += end.Step
	}
	if now.Sub(end.ReportedAt) > staleAfter {
		estimated += stalePenalty
	}
	return estimated
}
