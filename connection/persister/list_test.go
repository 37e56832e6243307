package persister_test

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"hemlockpin/connection/persister"
	"hemlockpin/internal/testkit"
	"hemlockpin/standin/keeper"

	"github.com/stretchr/testify/require"
)

// TestListOfFullSize reads a list of 401 entries. The answer must be compressed and
// contain only the endpoints of the local region and all hosts, and the list must not
// be transferred again until it changes.
func TestListOfFullSize(t *testing.T) {
	kee := keeper.New(keeper.Settings{ReadRate: 1000, WriteRate: 1000})
	ser := httptest.NewServer(kee.Handler())
	t.Cleanup(ser.Close)
	put := func(ent persister.Entry) {
		require.NoError(t, testkit.PutJSON(t.Context(), ser.URL+"/control/entries", ent))
	}
	for i := range 400 {
		put(persister.Entry{
			ID: fmt.Sprintf("engine-%d", i), Kind: persister.KindEngine, Service: "s", Address: fmt.Sprintf("10.0.%d.%d:7100", i/256, i%256),
			DataCenter: fmt.Sprintf("dc-%d", i%14), Region: fmt.Sprintf("region-%d", i%4), Models: []string{"m"},
		})
	}
	put(persister.Entry{ID: "host-0", Kind: persister.KindHost, Region: "region-3"})
	// The keeper serves the newest list that is older than ListLag, which is 0 here.
	time.Sleep(time.Millisecond)
	per := persister.Persister{BaseURL: ser.URL, Region: "region-1"}
	ents, err := per.Entries(t.Context())
	require.NoError(t, err)
	require.Len(t, ents, 101)
	receivedBytes := per.ListBytes()
	require.Less(t, receivedBytes, 40*len(ents))
	again, err := per.Entries(t.Context())
	require.NoError(t, err)
	require.Equal(t, ents, again)
	require.Zero(t, per.ListBytes())
	put(persister.Entry{ID: "host-0", Kind: persister.KindHost, Region: "region-3", Leaving: true})
	time.Sleep(time.Millisecond)
	ents, err = per.Entries(t.Context())
	require.NoError(t, err)
	require.Len(t, ents, 101)
	require.True(t, ents[100].Leaving)
}
