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

// The list of the aimed size comes packed, once, for the own region only.
func TestListOfFullSize(t *testing.T) {
	kee := keeper.New(keeper.Settings{ReadRate: 1000, WriteRate: 1000})
	ser := httptest.NewServer(kee.Handler())
	t.Cleanup(ser.Close)
	put := func(ent persister.Entry) {
		require.NoError(t, testkit.PutJSON(t.Context(), ser.URL+"/control/entries", ent))
	}
	for ind := range 400 {
		put(persister.Entry{
			ID: fmt.Sprintf("engine-%d", ind), Kind: persister.KindEngine, Service: "s", Address: fmt.Sprintf("10.0.%d.%d:7100", ind/256, ind%256),
			DataCenter: fmt.Sprintf("dc-%d", ind%14), Region: fmt.Sprintf("region-%d", ind%4), Models: []string{"m"},
		})
	}
	put(persister.Entry{ID: "host-0", Kind: persister.KindHost, Region: "region-3"})
	time.Sleep(time.Millisecond)
	per := persister.Persister{BaseURL: ser.URL, Region: "region-1"}
	ents, err := per.Entries(t.Context())
	require.NoError(t, err)
	require.Len(t, ents, 101)
	whole := per.ListBytes()
	require.Less(t, whole, 40*len(ents))
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
