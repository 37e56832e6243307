package scheduler

import (
	"container/heap"
	"slices"
	"time"

	"hemlockpin/request/placer"
)

const (
	// stretch is the wait that a prompt may have for each second of its own
	// prefill before prompts that came later go first.
	stretch = 2.0
	// priorityHeadStart is how much earlier than others a request counts for
	// each step of priority.
	priorityHeadStart = 100 * time.Millisecond
	// longPrefill is the prefill time from which a prompt counts as long.
	longPrefill = 25 * time.Millisecond
	// answerWeight weighs an answer's tokens against a prompt's in a team's
	// account.
	answerWeight = 1
)

// ask is a request that waits, or that has been granted.
type ask struct {
	id   string
	host string
	inc  uint64
	req  placer.Request
	team *team
	// long asks are bound to a share of the engines; group asks need several
	// engines.
	long  bool
	group bool
	// patient is when the ask may have a promise of memory again.
	patient time.Time
	// key orders the asks of a team: the arrival, later for long prompts and
	// earlier for a higher priority. It does not change while the ask waits,
	// so every ask is first at some time.
	key         time.Time
	arrived     time.Time
	latestStart time.Time
	cost        float64
	cached      [maxSlots]uint16
	index       int
}

// team is the account of one team in the cell.
type team struct {
	name  string
	share float64
	// served is the virtual time of the team: granted tokens by share.
	served float64
	// heaps and tokens hold the waiting asks and count their prompt tokens by
	// class, so that an ask of one class does not hold up another.
	heaps  [classes]askHeap
	tokens [classes]float64
}

// class tells asks apart by what they wait for.
type class int

const (
	classShort class = iota
	classLong
	classGroup
	classes
)

func (one *ask) class() class {
	switch {
	case one.group:
		return classGroup
	case one.long:
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

// waitingTokens counts the prompt tokens that wait for engines of short or of
// long prompts.
func (tea *team) waitingTokens(long bool) float64 {
	if long {
		return tea.tokens[classLong] + tea.tokens[classGroup]
	}
	return tea.tokens[classShort]
}

// askHeap is a heap of asks, the lowest key first.
type askHeap []*ask

// Len is part of heap.Interface.
func (hea askHeap) Len() int { return len(hea) }

// Less is part of heap.Interface.
func (hea askHeap) Less(one, two int) bool {
	if !hea[one].key.Equal(hea[two].key) {
		return hea[one].key.Before(hea[two].key)
	}
	return hea[one].id < hea[two].id
}

// Swap is part of heap.Interface.
func (hea askHeap) Swap(one, two int) {
	hea[one], hea[two] = hea[two], hea[one]
	hea[one].index = one
	hea[two].index = two
}

// Push is part of heap.Interface.
func (hea *askHeap) Push(val any) {
	one := val.(*ask)
	one.index = len(*hea)
	*hea = append(*hea, one)
}

// Pop is part of heap.Interface.
func (hea *askHeap) Pop() any {
	las := len(*hea) - 1
	one := (*hea)[las]
	(*hea)[las] = nil
	*hea = (*hea)[:las]
	return one
}

// queue holds the waiting asks by team. Teams with waiting asks are active.
type queue struct {
	teams  map[string]*team
	active []*team
	count  int
	tokens int64
	// floor is the lowest virtual time of an active team at the last grant. A
	// team that comes back starts there and has no credit for its absence.
	floor float64
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

func (que *queue) push(one *ask) {
	tea := one.team
	if tea.waiting() == 0 {
		tea.served = max(tea.served, que.floor)
		que.active = append(que.active, tea)
	}
	heap.Push(&tea.heaps[one.class()], one)
	tea.tokens[one.class()] += float64(one.req.PromptTokens)
	que.count++
	que.tokens += one.req.PromptTokens
}

func (que *queue) remove(one *ask) {
	tea := one.team
	heap.Remove(&tea.heaps[one.class()], one.index)
	tea.tokens[one.class()] -= float64(one.req.PromptTokens)
	que.count--
	que.tokens -= one.req.PromptTokens
	if tea.waiting() == 0 {
		que.active = slices.DeleteFunc(que.active, func(oth *team) bool { return oth == tea })
	}
}

// charge adds a granted ask to its team's account.
func (que *queue) charge(one *ask) {
	que.floor = max(que.floor, que.lowest(one.team))
	one.team.served += one.cost / one.team.share
}

func (que *queue) lowest(tea *team) float64 {
	low := tea.served
	for _, oth := range que.active {
		low = min(low, oth.served)
	}
	return low
}

// forget drops the accounts of teams that are behind the floor anyway.
func (que *queue) forget() {
	for nam, tea := range que.teams {
		if tea.waiting() == 0 && tea.served <= que.floor {
			delete(que.teams, nam)
		}
	}
}

// next returns the team with the least service that has an ask of the class and
// is not among those passed over.
func (que *queue) next(cla class, over []*team) *team {
	var bes *team
	for _, tea := range que.active {
		if len(tea.heaps[cla]) == 0 || slices.Contains(over, tea) {
			continue
		}
		if bes == nil || tea.served < bes.served {
			bes = tea
		}
	}
	return bes
}

// largest returns the team with the most waiting asks for its share.
func (que *queue) largest() *team {
	var bes *team
	for _, tea := range que.active {
		if bes == nil || float64(tea.waiting())/tea.share > float64(bes.waiting())/bes.share {
			bes = tea
		}
	}
	return bes
}

// last returns the waiting ask of a team that would go last.
func (tea *team) last() *ask {
	var bes *ask
	for _, hea := range tea.heaps {
		for _, one := range hea {
			if bes == nil || bes.key.Before(one.key) {
				bes = one
			}
		}
	}
	return bes
}
