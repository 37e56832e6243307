package server

import (
	"context"
	"sync"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/connection/messenger"
	"hemlockpin/connection/persister"
	"hemlockpin/process/gossiper"
	"hemlockpin/process/reclaimer"
	"hemlockpin/process/watcher"

	"github.com/rotisserie/eris"
)

const (
	reclaimInterval = 5 * time.Second
	// freshList is the age below which the platform's list counts as true.
	freshList = 10 * time.Second
)

// newReclaimer joins the reclaimer to the membership and the engines.
func (ser *Server) newReclaimer(own invoker.Owner) *reclaimer.Runner {
	mem := &members{gossiper: ser.gossiper, watcher: ser.watcher, region: ser.Settings.Region}
	return &reclaimer.Runner{
		Self: own, Invoker: ser.invoker, Members: mem, Owned: ser.executor, Scope: ser.scope,
		Engines: ser.engines, Live: mem.live,
		Call: func(ctx context.Context, host string, env *messenger.Envelope) (*messenger.Envelope, error) {
			per, ok := mem.peer(host)
			if !ok {
				return nil, eris.Errorf("Server.newReclaimer: host %s is not known", host)
			}
			return ser.multiplexer.Call(ctx, per.Address, env)
		},
	}
}

func (ser *Server) engines() []reclaimer.Engine {
	var out []reclaimer.Engine
	for _, ent := range ser.watcher.Entries() {
		if ent.Kind == persister.KindEngine {
			out = append(out, reclaimer.Engine{ID: ent.ID, Address: ent.Address})
		}
	}
	return out
}

// members shows the reclaimer what gossiper and list know of the hosts.
type members struct {
	gossiper *gossiper.Gossiper
	watcher  *watcher.Watcher
	region   string

	mu    sync.Mutex
	since map[string]time.Time
}

func (mem *members) peer(host string) (gossiper.Peer, bool) {
	for _, per := range mem.gossiper.Peers() {
		if per.ID == host {
			return per, true
		}
	}
	return gossiper.Peer{}, false
}

// Incarnation returns the owner's incarnation of the newest process of a host
// that was heard of.
func (mem *members) Incarnation(host string) (uint64, bool) {
	inc := mem.gossiper.Started(host)
	return inc, inc > 0
}

// live returns the live hosts of the region. Only they list its engines.
func (mem *members) live(now time.Time) []string {
	var out []string
	for _, per := range mem.gossiper.Live(now) {
		if per.Region == mem.region {
			out = append(out, per.ID)
		}
	}
	return out
}

// DeadSince returns since when a host that was known is dead and not listed.
// With an old list nobody is taken for dead.
func (mem *members) DeadSince(host string) (time.Time, bool) {
	now := time.Now()
	inc, alive := mem.gossiper.Incarnation(host)
	dead := inc > 0 && !alive && now.Sub(mem.watcher.ListedAt()) < freshList && !mem.listed(host)
	mem.mu.Lock()
	defer mem.mu.Unlock()
	if !dead {
		delete(mem.since, host)
		return time.Time{}, false
	}
	if mem.since == nil {
		mem.since = map[string]time.Time{}
	}
	if mem.since[host].IsZero() {
		mem.since[host] = now
	}
	return mem.since[host], true
}

func (mem *members) listed(host string) bool {
	for _, ent := range mem.watcher.Entries() {
		if ent.Kind == persister.KindEntry && ent.ID == host {
			return true
		}
	}
	return false
}
