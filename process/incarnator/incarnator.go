// Package incarnator chooses the incarnation of a starting process: one above
// all that peers know of its host's name, whatever the clocks say.
//
// A process whose incarnation were lower than that of one before it would be
// ignored by its peers, which would free the memory of its work.
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
	// patience bounds the start of a host whose platform or peers are silent, and
	// laterPatience what it waits for further answers after the first one: one of few
	// seeds may be down.
	patience      = time.Second
	laterPatience = 100 * time.Millisecond
	// enough is the number of answers that are waited for.
	enough = 3
	// maxAsked bounds the peers that are asked.
	maxAsked = 8
)

// Incarnator asks peers. All its fields but Seeds are needed.
type Incarnator struct {
	Host string
	// Seeds are addresses of peers that are asked first.
	Seeds []string
	// Entries reads the platform's list.
	Entries func(ctx context.Context) ([]persister.Entry, error)
	// Call sends a message to a peer.
	Call func(ctx context.Context, address string, env *messenger.Envelope) (*messenger.Envelope, error)
}

// Choose returns the incarnation of a process that starts now. When no peer
// answers in time, it rests on the clock; membership then outbids a newer
// incarnation as soon as it is told of its end.
func (inc *Incarnator) Choose(ctx context.Context, now time.Time) uint64 {
	return Next(inc.known(ctx), now)
}

// Next returns the incarnation of a process that starts now, when the highest
// known one of its host is as given.
func Next(known uint64, now time.Time) uint64 { return max(known+1, uint64(max(0, now.UnixNano()))) }

// known returns the highest incarnation that peers know; 0 if none does.
func (inc *Incarnator) known(ctx context.Context) uint64 {
	ctx, stop := context.WithTimeout(ctx, patience)
	defer stop()
	adds := inc.peers(ctx)
	ctx, stopAsking := context.WithTimeout(context.WithoutCancel(ctx), patience)
	defer stopAsking()
	anss := make(chan *messenger.MembersPush, len(adds))
	for _, add := range adds {
		go func() { anss <- inc.ask(ctx, add) }()
	}
	var hig uint64
	var late <-chan time.Time
	got := 0
	for range adds {
		select {
		case ans := <-anss:
			if ans == nil {
				continue
			}
			hig = max(hig, highest(ans, inc.Host))
			if got++; got == enough {
				return hig
			}
			if late == nil {
				late = time.After(laterPatience)
			}
		case <-late:
			return hig
		}
	}
	return hig
}

// peers returns the addresses to ask, drawn from the list after the seeds.
func (inc *Incarnator) peers(ctx context.Context) []string {
	var lis []string
	ents, _ := inc.Entries(ctx)
	for _, ent := range ents {
		if ent.Kind == persister.KindEntry && ent.ID != inc.Host {
			lis = append(lis, ent.Address)
		}
	}
	rand.Shuffle(len(lis), func(one, two int) { lis[one], lis[two] = lis[two], lis[one] })
	out := slices.Concat(inc.Seeds, lis)
	return out[:min(maxAsked, len(out))]
}

// ask returns nil when the peer does not answer.
func (inc *Incarnator) ask(ctx context.Context, address string) *messenger.MembersPush {
	env, err := inc.Call(ctx, address, &messenger.Envelope{Body: &messenger.Envelope_MembersPull{MembersPull: &messenger.MembersPull{From: &messenger.Member{Id: inc.Host}}}})
	if err != nil {
		return nil
	}
	return env.GetMembersPush()
}

func highest(pus *messenger.MembersPush, host string) uint64 {
	var hig uint64
	for _, mem := range pus.GetMembers() {
		if mem.GetId() == host {
			hig = max(hig, mem.GetIncarnation())
		}
	}
	return hig
}
