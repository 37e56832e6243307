package claimproof_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/Shopify/toxiproxy/v2/toxics"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// silences holds, for each group of proxies, the time before which connections
// must have been opened to be silent.
var silences sync.Map

// silence drops the data of connections that were open at a mark, while
// connections that are opened later work.
type silence struct{ Group string }

type silenceState struct{ born time.Time }

// NewState notes the birth of a connection.
func (*silence) NewState() any { return &silenceState{born: time.Now()} }

// Pipe passes data on or drops it.
func (sil *silence) Pipe(stub *toxics.ToxicStub) {
	sta := stub.State.(*silenceState)
	for {
		select {
		case <-stub.Interrupt:
			return
		case chu := <-stub.Input:
			if chu == nil {
				stub.Close()
				return
			}
			mark, ok := silences.Load(sil.Group)
			if !ok || sta.born.After(mark.(time.Time)) {
				stub.Output <- chu
			}
		}
	}
}

// silenceOpen makes the open connections of a group silent for good.
func silenceOpen(group string) { silences.Store(group, time.Now()) }

// proxies runs faulty proxies inside the test program.
type proxies struct {
	t      *testing.T
	server *toxiproxy.ApiServer
	mu     sync.Mutex
	count  int
}

func newProxies(t *testing.T) *proxies {
	toxics.Register("silence", new(silence))
	return &proxies{t: t, server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())}
}

// via returns the address of a proxy before address.
func (pro *proxies) via(group, address string) string {
	pro.mu.Lock()
	defer pro.mu.Unlock()
	pro.count++
	one := toxiproxy.NewProxy(pro.server, fmt.Sprintf("%s-%d", group, pro.count), "127.0.0.1:0", address)
	require.NoError(pro.t, one.Start())
	pro.t.Cleanup(one.Stop)
	for _, dir := range []string{"upstream", "downstream"} {
		_, err := one.Toxics.AddToxicJson(strings.NewReader(fmt.Sprintf(`{"name":%q,"type":"silence","stream":%q,"attributes":{"Group":%q}}`, dir, dir, group)))
		require.NoError(pro.t, err)
	}
	return one.Listen
}
