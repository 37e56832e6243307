// Package faulter puts toxiproxy between processes in tests and adds a toxic
// that drops data one way, or on established connections only.
package faulter

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/Shopify/toxiproxy/v2/toxics"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

const gateType = "gate"

// gate drops the data of one direction. Connections are numbered by birth.
type gate struct {
	ID string `json:"id"`
}

// rule says which connections of a gate are silent.
type rule struct {
	births atomic.Int64
	// before silences the connections born up to a number; all silences every one.
	before atomic.Int64
	all    atomic.Bool
}

var (
	rules   sync.Map
	lastID  atomic.Int64
	enlist  sync.Once
	noRules = &rule{}
)

func ruleOf(id string) *rule {
	if rul, ok := rules.Load(id); ok {
		return rul.(*rule)
	}
	return noRules
}

type birth struct{ number atomic.Int64 }

// NewState marks a connection as not yet numbered.
func (gat *gate) NewState() any { return &birth{} }

// Pipe passes data on, or drops it.
func (gat *gate) Pipe(stu *toxics.ToxicStub) {
	rul := ruleOf(gat.ID)
	bir := stu.State.(*birth)
	if bir.number.Load() == 0 {
		bir.number.Store(rul.births.Add(1))
	}
	for {
		select {
		case <-stu.Interrupt:
			return
		case chu := <-stu.Input:
			if chu == nil {
				stu.Close()
				return
			}
			if rul.all.Load() || bir.number.Load() <= rul.before.Load() {
				continue
			}
			stu.Output <- chu
		}
	}
}

// Proxy stands between callers and one upstream address.
type Proxy struct {
	pro  *toxiproxy.Proxy
	up   *rule
	down *rule
	ids  []string
}

// New starts a proxy to an address.
func New(upstream string) (*Proxy, error) {
	enlist.Do(func() { toxics.Register(gateType, new(gate)) })
	ser := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	pro := &Proxy{pro: toxiproxy.NewProxy(ser, upstream, "127.0.0.1:0", upstream), up: &rule{}, down: &rule{}}
	if err := pro.pro.Start(); err != nil {
		return nil, eris.Wrapf(err, "faulter.New: upstream %s", upstream)
	}
	for dir, rul := range map[string]*rule{"upstream": pro.up, "downstream": pro.down} {
		if err := pro.add(dir, rul); err != nil {
			pro.Close()
			return nil, err
		}
	}
	return pro, nil
}

func (pro *Proxy) add(dir string, rul *rule) error {
	id := fmt.Sprintf("gate-%d", lastID.Add(1))
	rules.Store(id, rul)
	pro.ids = append(pro.ids, id)
	txt := fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"attributes":{"id":%q}}`, id, gateType, dir, id)
	_, err := pro.pro.Toxics.AddToxicJson(strings.NewReader(txt))
	return eris.Wrapf(err, "Proxy.add: %s", dir)
}

// Address returns the address that callers use.
func (pro *Proxy) Address() string { return pro.pro.Listen }

// SilenceEstablished drops all further data of the connections open now, in the
// directions given, while new connections work.
func (pro *Proxy) SilenceEstablished(requests, answers bool) {
	if requests {
		pro.up.before.Store(pro.up.births.Load())
	}
	if answers {
		pro.down.before.Store(pro.down.births.Load())
	}
}

// Cut drops the data of all connections in the directions given, or passes it
// on again. Connections that were cut stay silent.
func (pro *Proxy) Cut(requests, answers bool) {
	set := func(rul *rule, cut bool) {
		if rul.all.Swap(cut) && !cut {
			rul.before.Store(rul.births.Load())
		}
	}
	set(pro.up, requests)
	set(pro.down, answers)
}

// Close ends the proxy and its connections.
func (pro *Proxy) Close() {
	pro.pro.Stop()
	for _, id := range pro.ids {
		rules.Delete(id)
	}
}
