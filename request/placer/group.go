package placer

import (
	"cmp"
	"slices"
	"time"
)

// GroupFill is the largest share of an engine's memory that a prompt of a group uses,
// as long as there are enough engines. With smaller shares, fewer running sequences
// have to end before the memory is free.
const GroupFill = 0.75

// group decides on a prompt that no single engine can hold. It takes the engines with
// the most free memory, as few as hold the prompt with at most GroupFill of the total
// memory of each, or else with all of it. The prompt is split in proportion to their
// memory.
func group(need int64, req Request, vie View) Decision {
	var candidates []*Endpoint
	for i := range vie.Endpoints {
		if end := &vie.Endpoints[i]; vie.accepts(&req, end) {
			candidates = append(candidates, end)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *Endpoint) int {
		return cmp.Compare(b.MemoryTokens-b.UsedTokens-b.RecentTokens, a.MemoryTokens-a.UsedTokens-a.RecentTokens)
	})
	memories := make([]int64, len(candidates))
	for i, end := range candidates {
		memories[i] = end.MemoryTokens
	}
	shares := Split(need, memories)
	if shares == nil {
		return Refuse{Code: "prompt_too_large", Message: "the prompt exceeds the memory of all engines of the pool"}
	}
	var pla PlaceGroup
	for i, share := range shares {
		pla.Parts = append(pla.Parts, Part{Endpoint: candidates[i].ID, Address: candidates[i].Address, Tokens: share})
	}
	for i, share := range shares {
		if candidates[i].MemoryTokens-candidates[i].UsedTokens-candidates[i].RecentTokens < share {
			return Refuse{Code: "group_unavailable", Message: "the engines cannot hold the prompt together now", RetryAfter: time.Second}
		}
	}
	return pla
}

// Split divides need, in tokens, among the first engines of a list with the given
// memories, in tokens. It uses as few engines as hold the prompt with at most GroupFill
// of each, or else as few as hold it with all of their memory. It returns nil if all
// engines together cannot hold the prompt.
func Split(need int64, memories []int64) []int64 {
	for _, fill := range []float64{GroupFill, 1} {
		var sum int64
		for i, memory := range memories {
			sum += int64(float64(memory) * fill)
			if sum >= need {
				return splitInProportion(need, sum, memories[:i+1], fill)
			}
		}
	}
	return nil
}

// splitInProportion splits need in proportion to the memories, rounded up, with at most
// fill of each memory. sum is the total of these maxima.
func splitInProportion(need, sum int64, memories []int64, fill float64) []int64 {
	parts := make([]int64, len(memories))
	left := need
	for i, memory := range memories {
		maxShare := int64(float64(memory) * fill)
		parts[i] = min(left, min(maxShare, int64(float64(need)*float64(maxShare)/float64(sum))+1))
		left -= parts[i]
	}
	return parts
}
