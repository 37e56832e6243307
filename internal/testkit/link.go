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

// Direction is a direction of a link.
type Direction string

// Directions of a link, as the side that dials sees them.
const (
	// Requests flow from the dialing side.
	Requests Direction = "upstream"
	// Answers flow to the dialing side.
	Answers Direction = "downstream"
)

// silent drops the data of connections that were born before the mark of their
// link, while later ones pass.
type silent struct {
	// Link is the number of the link; toxics are copied by reflection and so
	// can't hold the mark themselves.
	Link int64 `json:"link"`
	// Direction is the direction whose data is dropped.
	Direction Direction `json:"direction"`
}

// markKey names the mark of one direction of a link.
type markKey struct {
	link int64
	dir  Direction
}

// marks holds the mark of each direction of each link.
var (
	marks     sync.Map
	linkCount atomic.Int64
)

func init() { toxics.Register("established_silent", &silent{}) }

// NewState notes the birth of a connection. Connections that are open when the
// toxic is added get their state then, so they count as born before the mark.
func (sil *silent) NewState() any { return time.Now().UnixNano() }

// Pipe passes or drops chunks.
func (sil *silent) Pipe(stub *toxics.ToxicStub) {
	born, _ := stub.State.(int64)
	for {
		select {
		case <-stub.Interrupt:
			return
		case chu := <-stub.Input:
			if chu == nil {
				stub.Close()
				return
			}
			if born >= sil.mark() {
				stub.Output <- chu
			}
		}
	}
}

func (sil *silent) mark() int64 {
	val, ok := marks.Load(markKey{sil.Link, sil.Direction})
	if !ok {
		return 0
	}
	return val.(*atomic.Int64).Load()
}

// Link is a fault-injecting proxy in front of one address, inside the program
// that made it.
type Link struct {
	proxy *toxiproxy.Proxy
	marks map[Direction]*atomic.Int64
}

var linkServer = toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())

// NewLink starts a proxy in front of upstream.
func NewLink(name, upstream string) (*Link, error) {
	pro := toxiproxy.NewProxy(linkServer, name, "127.0.0.1:0", upstream)
	num := linkCount.Add(1)
	lin := &Link{proxy: pro, marks: map[Direction]*atomic.Int64{}}
	for _, dir := range []Direction{Requests, Answers} {
		lin.marks[dir] = &atomic.Int64{}
		marks.Store(markKey{num, dir}, lin.marks[dir])
	}
	if err := pro.Start(); err != nil {
		return nil, eris.Wrapf(err, "NewLink: %s", name)
	}
	// The toxic that marks births must see every connection from its start.
	for dir := range lin.marks {
		if err := lin.add("silent-"+string(dir), "established_silent", dir, map[string]any{"link": num, "direction": dir}); err != nil {
			return nil, err
		}
	}
	return lin, nil
}

// Address is where the link listens.
func (lin *Link) Address() string { return lin.proxy.Listen }

// Cut closes all connections and refuses new ones.
func (lin *Link) Cut() { lin.proxy.Stop() }

// Restore takes connections again after Cut.
func (lin *Link) Restore() error { return lin.proxy.Start() }

// BlackholeEstablished drops the data of the connections that are open now, in the
// given directions or in both, while later connections work.
func (lin *Link) BlackholeEstablished(dirs ...Direction) {
	if len(dirs) == 0 {
		dirs = []Direction{Requests, Answers}
	}
	now := time.Now().UnixNano()
	for _, dir := range dirs {
		lin.marks[dir].Store(now)
	}
}

// Block drops all data in one direction and leaves the connections open.
func (lin *Link) Block(dir Direction) error {
	return lin.add("block-"+string(dir), "timeout", dir, map[string]any{"timeout": 0})
}

// Unblock ends Block. The connections that lost data are closed.
func (lin *Link) Unblock(dir Direction) error { return lin.remove("block-" + string(dir)) }

// Delay holds answers back.
func (lin *Link) Delay(dur time.Duration) error {
	return lin.add("delay", "latency", Answers, map[string]any{"latency": dur.Milliseconds()})
}

// Undelay ends Delay.
func (lin *Link) Undelay() error { return lin.remove("delay") }

// Close ends the link.
func (lin *Link) Close() { lin.proxy.Stop() }

// add puts a toxic on one direction.
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
