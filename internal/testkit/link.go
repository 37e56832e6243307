package testkit

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/Shopify/toxiproxy/v2/toxics"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

const removeTimeout = 2 * time.Second

// Direction is a direction of data through a link.
type Direction string

// Directions of a link, seen from the side that opened the connection.
const (
	// Requests is the direction from the side that opened the connection.
	Requests Direction = "upstream"
	// Answers is the direction to the side that opened the connection.
	Answers Direction = "downstream"
)

// blackhole is a toxic that drops the data of all connections that were opened
// before the cutoff of their link. Data of later connections passes.
type blackhole struct {
	// Link is the number of the link, by which the cutoff is looked up: toxiproxy
	// copies toxics by reflection, so they can't hold the cutoff themselves.
	Link int64 `json:"link"`
	// Direction is the direction whose data is dropped.
	Direction Direction `json:"direction"`
}

// cutoffKey identifies the cutoff of one direction of a link.
type cutoffKey struct {
	link int64
	dir  Direction
}

// cutoffs maps each cutoffKey to its cutoff, an *atomic.Int64 in nanoseconds since
// the epoch.
var (
	cutoffs   sync.Map
	linkCount atomic.Int64
)

func init() { toxics.Register("established_silent", &blackhole{}) }

// NewState returns the time at which a connection was opened. A connection that
// is open when the toxic is added gets the time of the addition.
func (bla *blackhole) NewState() any { return time.Now().UnixNano() }

// Pipe passes the chunks of connections opened at or after the cutoff and drops
// all others.
func (bla *blackhole) Pipe(stub *toxics.ToxicStub) {
	born, _ := stub.State.(int64)
	for {
		select {
		case <-stub.Interrupt:
			return
		case chunk := <-stub.Input:
			if chunk == nil {
				stub.Close()
				return
			}
			if born >= bla.cutoff() {
				stub.Output <- chunk
			}
		}
	}
}

func (bla *blackhole) cutoff() int64 {
	val, ok := cutoffs.Load(cutoffKey{bla.Link, bla.Direction})
	if !ok {
		return 0
	}
	return val.(*atomic.Int64).Load()
}

// Link is a fault-injecting TCP proxy in front of one address. It runs inside the
// program that created it.
type Link struct {
	proxy   *toxiproxy.Proxy
	cutoffs map[Direction]*atomic.Int64
}

var linkServer = toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())

// NewLink starts a proxy in front of upstream. It fails if the proxy can't listen
// or the toxic can't be added.
func NewLink(name, upstream string) (*Link, error) {
	pro := toxiproxy.NewProxy(linkServer, name, "127.0.0.1:0", upstream)
	number := linkCount.Add(1)
	lin := &Link{proxy: pro, cutoffs: map[Direction]*atomic.Int64{}}
	for _, dir := range []Direction{Requests, Answers} {
		lin.cutoffs[dir] = &atomic.Int64{}
		cutoffs.Store(cutoffKey{number, dir}, lin.cutoffs[dir])
	}
	if err := pro.Start(); err != nil {
		return nil, eris.Wrapf(err, "NewLink: %s", name)
	}
	// The toxic records when connections are opened, so it must be in place before
	// the first connection.
	for dir := range lin.cutoffs {
		if err := lin.add("silent-"+string(dir), "established_silent", dir, map[string]any{"link": number, "direction": dir}); err != nil {
			return nil, err
		}
	}
	return lin, nil
}

// Address returns the address on which the link listens.
func (lin *Link) Address() string { return lin.proxy.Listen }

// Cut closes all connections and refuses new ones.
func (lin *Link) Cut() { lin.proxy.Stop() }

// Restore accepts connections again after Cut.
func (lin *Link) Restore() error { return lin.proxy.Start() }

// BlackholeEstablished drops all further data of the connections that are open
// now, in the given directions (both if none is given). The connections stay open,
// and later connections work.
func (lin *Link) BlackholeEstablished(dirs ...Direction) {
	if len(dirs) == 0 {
		dirs = []Direction{Requests, Answers}
	}
	now := time.Now().UnixNano()
	for _, dir := range dirs {
		lin.cutoffs[dir].Store(now)
	}
}

// Block drops all data in one direction and leaves the connections open.
func (lin *Link) Block(dir Direction) error {
	return lin.add("block-"+string(dir), "timeout", dir, map[string]any{"timeout": 0})
}

// Unblock undoes Block. It closes the connections that lost data.
func (lin *Link) Unblock(dir Direction) error { return lin.remove("block-" + string(dir)) }

// Delay delays answers.
func (lin *Link) Delay(delay time.Duration) error {
	return lin.add("delay", "latency", Answers, map[string]any{"latency": delay.Milliseconds()})
}

// Undelay undoes Delay.
func (lin *Link) Undelay() error { return lin.remove("delay") }

// Close closes all connections and stops listening.
func (lin *Link) Close() { lin.proxy.Stop() }

// add adds a toxic to one direction.
func (lin *Link) add(name, kind string, dir Direction, attrs map[string]any) error {
	buf, err := json.Marshal(map[string]any{"name": name, "type": kind, "stream": dir, "toxicity": 1, "attributes": attrs})
	if err != nil {
		return err
	}
	_, err = lin.proxy.Toxics.AddToxicJson(bytes.NewReader(buf))
	return eris.Wrapf(err, "Link.add: %s on %s", name, lin.proxy.Name)
}

func (lin *Link) remove(name string) error {
	ctx, stop := context.WithTimeout(context.Background(), removeTimeout)
	defer stop()
	return eris.Wrapf(lin.proxy.Toxics.RemoveToxic(ctx, name), "Link.remove: %s on %s", name, lin.proxy.Name)
}
