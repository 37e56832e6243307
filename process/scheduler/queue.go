package scheduler

import (
	"container/heap"
	"slices"
	"time"

	"hemlockpin/request/placer"
)

const (
	// prefillKeyFactor delays a prompt's key by this many times its prefill time,
	// so that shorter prompts that arrive within this time are granted first.
	prefillKeyFactor = 2.0
	// priorityKeyStep is how much earlier a request's key is for each step of
	// priority.
	priorityKeyStep = 100 * time.Millisecond
	// longPrefill is the minimum prefill time of a long prompt.
	longPrefill = 25 * time.Millisecond
	// answerWeight is the cost of an answer token relative to a prompt token in a
	// team's virtual time.
	answerWeight = 1
)

// entry is a request that waits in the queue or has been granted.
type entry struct {
	id          string
	host        string
	incarnation uint64
	req         placer.Request
	team        *team
	// long requests may use only a share of the engines; group requests need the
	// memory of several engines.
	long  bool
	group bool
	// promiseAfter is the earliest time of another promise of memory.
	promiseAfter time.Time
	// key orders the requests of a team. It is the arrival time, moved later for
	// a longer prefill and earlier for a higher priority. It does not change
	// while the request waits, so every request becomes the first eventually.
	key     time.Time
	arrived time.Time
	// latestStart is the latest time at which the prefill may start to meet the
	// deadline.
	latestStart time.Time
	// cost is the cost of the request in its team's virtual time, in tokens.
	cost float64
	// cachedBlocks has the number of leading blocks that each engine caches, by
	// slot.
	cachedBlocks [maxSlots]uint16
	heapIndex    int
}

// team has the waiting requests and the virtual time of one team in the cell.
type team struct {
	name  string
	share float64
	// virtualTime is the sum of the costs of the granted requests, each divided by
	// the team's share.
	virtualTime float64
	// heaps and promptTokens hold the waiting requests and the sum of their
	// prompt tokens by class, so that a request of one class does not delay
	// requests of another.
	heaps        [classCount]entryHeap
	promptTokens [classCount]float64
}

// class is the kind of a request: short prompt, long prompt, or prompt for a group of
// engines.
type class int

const (
	classShort class = iota
	classLong
	classGroup
	classCount
)

func (ent *entry) class() class {
	switch {
	case ent.group:
		return classGroup
	case ent.long:
		return classLong
	default:
		return classShort
	}
}

func (tea *team) waiting() int {
	sum := 0
	for _, hea := range tea.heaps {
		sum += len(hea)
	}
	return sum
}

// waitingTokens returns the prompt tokens of the team's waiting long prompts and
// groups if long is true, else of its waiting short prompts.
func (tea *team) waitingTokens(long bool) float64 {
	if long {
		return tea.promptTokens[classLong] + tea.promptTokens[classGroup]
	}
	return tea.promptTokens[classShort]
}

// entryHeap is a heap of requests with the lowest key first.
type entryHeap []*entry

// Len is part of heap.Interface.
func (hea entryHeap) Len() int { return len(hea) }

// Less is part of heap.Interface.
func (hea entryHeap) Less(i, j int) bool {
	if !hea[i].key.Equal(hea[j].key) {
		return hea[i].key.Before(hea[j].key)
	}
	return hea[i].id < hea[j].id
}

// Swap is part of heap.Interface.
func (hea entryHeap) Swap(i, j int) {
	hea[i], hea[j] = hea[j], hea[i]
	hea[i].heapIndex = i
	hea[j].heapIndex = j
}

// Push is part of heap.Interface.
func (hea *entryHeap) Push(val any) {
	ent := val.(*entry)
	ent.heapIndex = len(*hea)
	*hea = append(*hea, ent)
}

// Pop is part of heap.Interface.
func (hea *entryHeap) Pop() any {
	last := len(*hea) - 1
	ent := (*hea)[last]
	(*hea)[last] = nil
	*hea = (*hea)[:last]
	return ent
}

// queue holds the waiting requests by team. A team is active while it has waiting
// requests.
type queue struct {
	teams        map[string]*team
	active       []*team
	count        int
	promptTokens int64
	// minVirtualTime is the lowest virtual time of an active team at the last
	// grant. A team that becomes active again starts there at least, so that it
	// has no credit for its inactive time.
	minVirtualTime float64
}

func (que *queue) team(name string, share float64) *team {
	if que.teams == nil {
		que.teams = map[string]*team{}
	}
	tea := que.teams[name]
	if tea == nil {
		tea = &team{name: name}
		que.teams[name] = tea
	}
	tea.share = share
	if tea.share <= 0 {
		tea.share = 1
	}
	return tea
}

func (que *queue) push(ent *entry) {
	tea := ent.team
	if tea.waiting() == 0 {
		tea.virtualTime = max(tea.virtualTime, que.minVirtualTime)
		que.active = append(que.active, tea)
	}
	heap.Push(&tea.heaps[ent.class()], ent)
	tea.promptTokens[ent.class()] += float64(ent.req.PromptTokens)
	que.count++
	que.promptTokens += ent.req.PromptTokens
}

func (que *queue) remove(ent *entry) {
	tea := ent.team
	heap.Remove(&tea.heaps[ent.class()], ent.heapIndex)
	tea.promptTokens[ent.class()] -= float64(ent.req.PromptTokens)
	que.count--
	que.promptTokens -= ent.req.PromptTokens
	if tea.waiting() == 0 {
		que.active = slices.DeleteFunc(que.active, func(other *team) bool { return other == tea })
	}
}

// charge adds the cost of a granted request to its team's virtual time.
func (que *queue) charge(ent *entry) {
	que.minVirtualTime = max(que.minVirtualTime, que.lowestVirtualTime(ent.team))
	ent.team.virtualTime += ent.cost / ent.team.share
}

// lowestVirtualTime returns the lowest virtual time of the given team and of all
// active teams.
func (que *queue) lowestVirtualTime(tea *team) float64 {
	lowest := tea.virtualTime
	for _, other := range que.active {
		lowest = min(lowest, other.virtualTime)
	}
	return lowest
}

// dropInactiveTeams drops inactive teams whose virtual time would be raised to
// minVirtualTime anyway when they become active again.
func (que *queue) dropInactiveTeams() {
	for name, tea := range que.teams {
		if tea.waiting() == 0 && tea.virtualTime <= que.minVirtualTime {
			delete(que.teams, name)
		}
	}
}

// nextTeam returns the team with the lowest virtual time that has a request of
// the class and is not among the skipped ones.
func (que *queue) nextTeam(cla class, skipped []*team) *team {
	var best *team
	for _, tea := range que.active {
		if len(tea.heaps[cla]) == 0 || slices.Contains(skipped, tea) {
			continue
		}
		if best == nil || tea.virtualTime < best.virtualTime {
			best = tea
		}
	}
	return best
}

// mostWaitingPerShare returns the team with the most waiting requests relative to its
// share.
func (que *queue) mostWaitingPerShare() *team {
	var best *team
	for _, tea := range que.active {
		if best == nil || float64(tea.waiting())/tea.share > float64(best.waiting())/best.share {
			best = tea
		}
	}
	return best
}

// lastEntry returns the team's waiting request with the highest key.
func (tea *team) lastEntry() *entry {
	var latest *entry
	for _, hea := range tea.heaps {
		for _, ent := range hea {
			if latest == nil || latest.key.Before(ent.key) {
				latest = ent
			}
		}
	}
	return latest
}
