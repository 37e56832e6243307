// Package incarnator chooses the incarnation of a starting process: a number higher
// than all that peers have seen of its host, also if the host's clock was set back.
//
// Peers would ignore a process whose incarnation is lower than that of an earlier
// process of the host, and would free the memory that its requests use on engines.
package incarnator

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/connection/persister"
)

const (
	// queryTimeout bounds each of two steps: reading the platform's list and querying
	// peers. A host starts even if neither answers.
	queryTimeout = time.Second
	// furtherAnswersWait is the time to wait for further answers after the first one, so
	// that a start is not delayed if one of few seeds is down.
	furtherAnswersWait = 100 * time.Millisecond
	// enoughAnswers is the number of peers' answers after which no more are awaited.
	enoughAnswers = 3
	// maxPeers bounds the number of peers that are queried.
	maxPeers = 8
)

// Incarnator queries peers for the incarnations of a host. All fields but Seeds have to
// be set.
type Incarnator struct {
	Host string
	// Seeds holds the addresses of peers that are queried first.
	Seeds []string
	// Entries reads the platform's list.
	Entries func(ctx context.Context) ([]persister.Entry, error)
	// Call sends a message to a peer.
	Call func(ctx context.Context, address string, env *messenger.Envelope) (*messenger.Envelope, error)
}

// Choose returns the incarnation of a process that starts now. If no peer answers in
// time, the incarnation is the clock's time. If an earlier process had a higher
// incarnation, membership raises the incarnation of this process as soon as a peer
// reports the end of the earlier process.
func (inc *Incarnator) Choose(ctx context.Context, now time.Time) uint64 {
	return NextAfter(inc.highestKnown(ctx), now)
}

// NextAfter returns the incarnation of a process that starts now: the time in
// nanoseconds, or one more than the highest known incarnation of the host if that is
// higher.
func NextAfter(known uint64, now time.Time) uint64 {
	return max(known+1, uint64(max(0, now.UnixNano())))
}

// highestKnown returns the highest incarnation of the host that peers have seen, or 0.
func (inc *Incarnator) highestKnown(ctx context.Context) uint64 {
	ctx, stop := context.WithTimeout(ctx, queryTimeout)
	defer stop()
	addrs := inc.peers(ctx)
	// The pulls have a queryTimeout of their own.
	ctx, stopPulls := context.WithTimeout(context.WithoutCancel(ctx), queryTimeout)
	defer stopPulls()
	answers := make(chan *messenger.MembersPush, len(addrs))
	for _, addr := range addrs {
		go func() { answers <- inc.pullMembers(ctx, addr) }()
	}
	var highest uint64
	var answerDeadline <-chan time.Time
	answered := 0
	for range addrs {
		select {
		case members := <-answers:
			if members == nil {
				continue
			}
			highest = max(highest, highestOf(members, inc.Host))
			if answered++; answered == enoughAnswers {
				return highest
			}
			if answerDeadline == nil {
				answerDeadline = time.After(furtherAnswersWait)
			}
		case <-answerDeadline:
			return highest
		}
	}
	return highest
}

// peers returns the addresses to query: the seeds, then hosts of the list in random
// order.
func (inc *Incarnator) peers(ctx context.Context) []string {
	var listed []string
	ents, _ := inc.Entries(ctx)
	for _, ent := range ents {
		if ent.Kind == persister.KindHost && ent.ID != inc.Host {
			listed = append(listed, ent.Address)
		}
	}
	rand.Shuffle(len(listed), func(i, j int) { listed[i], listed[j] = listed[j], listed[i] })
	out := slices.Concat(inc.Seeds, listed)
	return out[:min(maxPeers, len(out))]
}

// pullMembers returns the members that a peer knows, or nil if it does not answer.
func (inc *Incarnator) pullMembers(ctx context.Context, address string) *messenger.MembersPush {
	env, err := inc.Call(ctx, address, &messenger.Envelope{Body: &messenger.Envelope_MembersPull{MembersPull: &messenger.MembersPull{From: &messenger.Member{Id: inc.Host}}}})
	if err != nil {
		return nil
	}
	return env.GetMembersPush()
}

func highestOf(pus *messenger.MembersPush, host string) uint64 {
	var highest uint64
	for _, mem := range pus.GetMembers() {
		if mem.GetId() == host && mem.GetIncarnation() < messenger.MaxIncarnation {
			highest = max(highest, mem.GetIncarnation())
		}
	}
	return highest
}
