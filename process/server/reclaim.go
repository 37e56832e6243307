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
	// maxListAge is the age up to which the platform's list is used to decide that a
	// host is dead.
	maxListAge = 10 * time.Second
)

// newReclaimer returns a reclaimer that uses this host's membership and list of engines.
func (ser *Server) newReclaimer(own invoker.Owner) *reclaimer.Runner {
	mem := &members{gossiper: ser.gossiper, watcher: ser.watcher, region: ser.Settings.Region}
	return &reclaimer.Runner{
		Self: own, Invoker: ser.invoker, Members: mem, LocalRequests: ser.executor, Scope: ser.scope,
		Engines: ser.engines, LiveHosts: mem.live,
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

// members gives the reclaimer the state of hosts, from membership and from the platform's
// list.
type members struct {
	gossiper *gossiper.Gossiper
	watcher  *watcher.Watcher
	region   string

	mu        sync.Mutex
	deadSince map[string]time.Time
}

func (mem *members) peer(host string) (gossiper.Peer, bool) {
	for _, per := range mem.gossiper.Peers() {
		if per.ID == host {
			return per, true
		}
	}
	return gossiper.Peer{}, false
}

// Incarnation returns the incarnation with which the newest known process of a host owns
// work, and whether one is known.
func (mem *members) Incarnation(host string) (uint64, bool) {
	inc := mem.gossiper.Started(host)
	return inc, inc > 0
}

// live returns the live hosts of the region. Other hosts do not list the region's engines.
func (mem *members) live(now time.Time) []string {
	var out []string
	for _, per := range mem.gossiper.Live(now) {
		if per.Region == mem.region {
			out = append(out, per.ID)
		}
	}
	return out
}

// DeadSince returns since when a known host is dead and not listed, and whether it is.
// While the list is older than maxListAge, no host counts as dead.
func (mem *members) DeadSince(host string) (time.Time, bool) {
	now := time.Now()
	inc, alive := mem.gossiper.Incarnation(host)
	dead := inc > 0 && !alive && now.Sub(mem.watcher.ListedAt()) < maxListAge && !mem.listed(host)
	mem.mu.Lock()
	defer mem.mu.Unlock()
	if !dead {
		delete(mem.deadSince, host)
		return time.Time{}, false
	}
	if mem.deadSince == nil {
		mem.deadSince = map[string]time.Time{}
	}
	if mem.deadSince[host].IsZero() {
		mem.deadSince[host] = now
	}
	return mem.deadSince[host], true
}

func (mem *members) listed(host string) bool {
	for _, ent := range mem.watcher.Entries() {
		if ent.Kind == persister.KindHost && ent.ID == host {
			return true
		}
	}
	return false
}
