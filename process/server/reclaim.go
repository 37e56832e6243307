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
	// reclaimInterval is the interval between searches for work whose owner is dead.
	reclaimInterval = 5 * time.Second
	// maxListAge is the age up to which the platform's list is used to decide that a
	// host is dead.
	maxListAge = 10 * time.Second
)

// newReclaimer returns a reclaimer that uses this host's membership and list of engines.
func (ser *Server) newReclaimer(own invoker.Owner) *reclaimer.Runner {
	sta := &hostStates{gossiper: ser.gossiper, watcher: ser.watcher, region: ser.Settings.Region}
	return &reclaimer.Runner{
		Self: own, Invoker: ser.invoker, Members: sta, LocalRequests: ser.executor, Scope: ser.scope,
		Engines: ser.engines, LiveHosts: sta.liveInRegion,
		Call: func(ctx context.Context, host string, env *messenger.Envelope) (*messenger.Envelope, error) {
			per, ok := sta.peer(host)
			if !ok {
				return nil, eris.Errorf("Server.newReclaimer: call host %s: not a known member", host)
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

// hostStates reports to the reclaimer which hosts are live or dead, by membership and the
// platform's list.
type hostStates struct {
	gossiper *gossiper.Gossiper
	watcher  *watcher.Watcher
	region   string

	mu        sync.Mutex
	deadSince map[string]time.Time
}

func (sta *hostStates) peer(host string) (gossiper.Peer, bool) {
	for _, per := range sta.gossiper.Peers() {
		if per.ID == host {
			return per, true
		}
	}
	return gossiper.Peer{}, false
}

// Incarnation returns the incarnation at which the newest known process of a host started,
// which marks the work that the process owns. It reports false if no process is known.
func (sta *hostStates) Incarnation(host string) (uint64, bool) {
	inc := sta.gossiper.StartIncarnation(host)
	return inc, inc > 0
}

// liveInRegion returns the live hosts of the region. Hosts of other regions do not list
// this region's engines.
func (sta *hostStates) liveInRegion(now time.Time) []string {
	var out []string
	for _, per := range sta.gossiper.Live(now) {
		if per.Region == sta.region {
			out = append(out, per.ID)
		}
	}
	return out
}

// DeadSince reports whether a known host is dead and not listed, and returns when
// DeadSince first found it so. While the list is older than maxListAge, no host counts as
// dead.
func (sta *hostStates) DeadSince(host string) (time.Time, bool) {
	now := time.Now()
	inc, alive := sta.gossiper.Incarnation(host)
	dead := inc > 0 && !alive && now.Sub(sta.watcher.ListedAt()) < maxListAge && !sta.listed(host)
	sta.mu.Lock()
	defer sta.mu.Unlock()
	if !dead {
		delete(sta.deadSince, host)
		return time.Time{}, false
	}
	if sta.deadSince == nil {
		sta.deadSince = map[string]time.Time{}
	}
	if sta.deadSince[host].IsZero() {
		sta.deadSince[host] = now
	}
	return sta.deadSince[host], true
}

func (sta *hostStates) listed(host string) bool {
	for _, ent := range sta.watcher.Entries() {
		if ent.Kind == persister.KindHost && ent.ID == host {
			return true
		}
	}
	return false
}
