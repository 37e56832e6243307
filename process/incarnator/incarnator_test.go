package incarnator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/connection/persister"

	"github.com/cockroachdb/datadriven"
	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"
)

// TestChoose starts host-a with its clock at 100. The incarnation has to be above each
// one that a peer has seen, also if the clock is behind. Each argument of the input is a
// peer with the incarnation of host-a that it has seen, or silent if it does not answer.
func TestChoose(t *testing.T) {
	datadriven.RunTest(t, "testdata/choose", func(t *testing.T, dat *datadriven.TestData) string {
		inc := &Incarnator{Host: "host-a", Entries: func(context.Context) ([]persister.Entry, error) { return nil, eris.New("list unavailable") }}
		seen := map[string]uint64{}
		for _, arg := range dat.CmdArgs {
			var incarnation uint64
			if _, err := fmt.Sscan(arg.Vals[0], &incarnation); err == nil {
				seen[arg.Key] = incarnation
			}
			inc.Seeds = append(inc.Seeds, arg.Key)
		}
		if dat.Cmd == "listed" {
			addrs := inc.Seeds
			inc.Seeds = nil
			inc.Entries = func(context.Context) ([]persister.Entry, error) {
				ents := []persister.Entry{{ID: "host-a", Kind: persister.KindHost, Address: "self"}, {ID: "engine", Kind: persister.KindEngine, Address: "engine"}}
				for _, addr := range addrs {
					ents = append(ents, persister.Entry{ID: addr, Kind: persister.KindHost, Address: addr})
				}
				return ents, nil
			}
		}
		inc.Call = func(_ context.Context, addr string, _ *messenger.Envelope) (*messenger.Envelope, error) {
			incarnation, ok := seen[addr]
			if !ok {
				require.NotEqual(t, "self", addr)
				require.NotEqual(t, "engine", addr)
				return nil, eris.New("silent")
			}
			return &messenger.Envelope{Body: &messenger.Envelope_MembersPush{MembersPush: &messenger.MembersPush{Members: []*messenger.Member{
				{Id: "host-b", Incarnation: 1 << 40}, {Id: "host-a", Incarnation: incarnation, State: messenger.Member_STATE_DEAD},
			}}}}, nil
		}
		return fmt.Sprintln(inc.Choose(t.Context(), time.Unix(0, 100)))
	})
}
