package placer

import (
	"cmp"
	"slices"
	"time"
)

// GroupFill is the part of an engine's memory that one prompt of a group takes
// at most where enough engines exist. Smaller shares need less draining.
const GroupFill = 0.75

// group takes the engines with the most free memory, as few as hold the prompt
// within GroupFill each, and splits the prompt evenly.
func group(need int64, req Request, vie View) Decision {
	var can []*Endpoint
	for ind := range vie.Endpoints {
		if end := &vie.Endpoints[ind]; vie.takes(&req, end) {
			can = append(can, end)
		}
	}
	slices.SortStableFunc(can, func(one, two *Endpoint) int {
		return cmp.Compare(two.MemoryTokens-two.UsedTokens-two.RecentTokens, one.MemoryTokens-one.UsedTokens-one.RecentTokens)
	})
	mems := make([]int64, len(can))
	for ind, end := range can {
		mems[ind] = end.MemoryTokens
	}
	shas := Split(need, mems)
	if shas == nil {
		return Refuse{Code: "prompt_too_large", Message: "the prompt exceeds the memory of all engines of the pool"}
	}
	var pla PlaceGroup
	for ind, sha := range shas {
		pla.Parts = append(pla.Parts, Part{Endpoint: can[ind].ID, Address: can[ind].Address, Tokens: sha})
	}
	for ind, sha := range shas {
		if can[ind].MemoryTokens-can[ind].UsedTokens-can[ind].RecentTokens < sha {
			return Refuse{Code: "group_unavailable", Message: "the engines cannot hold the prompt together now", RetryAfter: time.Second}
		}
	}
	return pla
}

// Split divides need over the first engines of a list by their memories. It
// uses as few as hold the prompt within GroupFill each, else as many as there
// are. It returns nil if all of them together cannot hold it.
func Split(need int64, memories []int64) []int64 {
	for _, fil := range []float64{GroupFill, 1} {
		var sum int64
		for ind, mem := range memories {
			sum += int64(float64(mem) * fil)
			if sum >= need {
				return shares(need, sum, memories[:ind+1], fil)
			}
		}
	}
	return nil
}

// shares splits need in proportion to the memories, rounded up within each.
func shares(need, sum int64, memories []int64, fil float64) []int64 {
	out := make([]int64, len(memories))
	lef := need
	for ind, mem := range memories {
		top := int64(float64(mem) * fil)
		out[ind] = min(lef, min(top, int64(float64(need)*float64(top)/float64(sum))+1))
		lef -= out[ind]
	}
	return out
}
