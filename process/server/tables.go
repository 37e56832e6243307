package server

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"hemlockpin/connection/counter"
	"hemlockpin/connection/invoker"
	"hemlockpin/connection/messenger"
	"hemlockpin/connection/persister"
	"hemlockpin/process/gossiper"
	"hemlockpin/process/lister"
	"hemlockpin/process/publisher"
	"hemlockpin/process/watcher"
	"hemlockpin/request/responder"
)

const (
	// staleAfter is the age from which answers tell that the tables may be old.
	staleAfter          = 30 * time.Second
	platformDialTimeout = time.Second
	platformIdleTimeout = 90 * time.Second
	platformIdleConns   = 8
	// forwardTimeout bounds the forwarding of news to peers.
	forwardTimeout = 5 * time.Second
)

// joinTables joins membership, the tables and the notices of endpoints.
func (ser *Server) joinTables() {
	set := ser.Settings
	ser.gossiper = &gossiper.Gossiper{
		Self: &messenger.Member{
			Id: set.HostID, Address: set.PeerListen, DataCenter: set.DataCenter, Region: set.Region, Incarnation: ser.Incarnation,
		},
		Multiplexer: ser.multiplexer, Publisher: ser.publisher, Entries: ser.watcher.Entries,
		Lister: ser.lister, ListChanged: ser.relist, Seeds: set.SeedPeers, Scope: ser.scope, Log: ser.Log,
		Payload: gossiper.Payload{
			Notices: ser.watcher.Notices.Outgoing, MergeNotices: ser.watcher.Notices.Take, Cells: ser.farCells, MergeCells: ser.takeFarCells,
			Retries: ser.retries, MergeRetries: ser.takeRetries,
		},
	}
	ser.watcher.Noticed = func(nots []*messenger.EndpointNotice) {
		go ser.forward(func(ctx context.Context) { ser.gossiper.BroadcastNotices(ctx, nots, true) })
	}
	ser.publisher.Broadcast = func(ctx context.Context) (int, int) { return ser.gossiper.PushTables(ctx, true) }
	ser.publisher.OnAccept = func(fromStore bool) {
		ser.Log.Info().Uint64("Revision", ser.publisher.Current().Revision()).Bool("FromStore", fromStore).Msg("tables in force")
		go ser.forward(func(ctx context.Context) { ser.gossiper.PushTables(ctx, fromStore) })
	}
	ser.refresher = &publisher.Refresher{
		Publisher: ser.publisher, Self: set.HostID, Region: ser.regionHosts,
		OnError: func(error) { ser.scope.Counter("tables_refresh_failed").Inc(1) },
	}
}

func (ser *Server) forward(fun func(context.Context)) {
	ctx, stop := context.WithTimeout(context.Background(), forwardTimeout)
	defer stop()
	fun(ctx)
}

// newLister returns the host's holder of the platform's list.
func (ser *Server) newLister() *lister.Lister {
	inc := func() uint64 {
		num, _ := ser.gossiper.Incarnation(ser.Settings.HostID)
		return num
	}
	return &lister.Lister{
		Platform: &platformWatch{Lister: ser.persister, log: ser.Log, scope: ser.scope}, Self: ser.Settings.HostID, Incarnation: inc, Region: ser.regionHosts,
		MinInterval: ser.Settings.ListInterval, LastReadBytes: ser.persister.ListCost, Clock: time.Now,
		OnChange: func() { go ser.forward(ser.gossiper.PushList) },
	}
}

// relist takes a list that peers passed on without waiting for the next look.
func (ser *Server) relist() { go ser.forward(ser.watcher.Relist) }

// regionHosts returns the live peers of the own region.
func (ser *Server) regionHosts() []string {
	var out []string
	for _, per := range ser.gossiper.Live(time.Now()) {
		if per.Region == ser.Settings.Region {
			out = append(out, per.ID)
		}
	}
	return out
}

// gaugeTables reports the tables, membership and the traffic that control
// causes, which is counted from the start.
func (ser *Server) gaugeTables(now time.Time) {
	rev, age := ser.publisher.Freshness(now)
	ser.scope.Gauge("tables_revision").Update(float64(rev))
	ser.scope.Gauge("tables_age_seconds").Update(age.Seconds())
	ser.scope.Gauge("peers_live").Update(float64(len(ser.gossiper.Live(now))))
	ser.scope.Gauge("far_cells").Update(float64(ser.cells.Far.Count(ser.Settings.Region, now)))
	ser.scope.Gauge("peer_sessions").Update(float64(ser.multiplexer.Sessions()))
	for kin, tra := range map[string]*counter.Traffic{
		"peer": &ser.multiplexer.Traffic, "platform": &ser.platformTraffic, "endpoint": &ser.invoker.Control,
	} {
		tot := tra.Totals()
		sco := ser.scope.Tagged(map[string]string{"with": kin})
		sco.Gauge("control_bytes_sent").Update(float64(tot.Sent))
		sco.Gauge("control_bytes_received").Update(float64(tot.Received))
		sco.Gauge("control_connections_opened").Update(float64(tot.Opened))
	}
}

// markStale tells a caller how old the tables are, once they may be outdated.
func (ser *Server) markStale(hea http.Header, now time.Time) {
	if _, age := ser.publisher.Freshness(now); age >= staleAfter {
		hea.Set(responder.AgeHeader, strconv.FormatInt(int64(age/time.Second), 10))
	}
}

// newPersister returns a client of the platform whose traffic is counted.
func (ser *Server) newPersister() *persister.Persister {
	tra := &http.Transport{
		DialContext:         ser.platformTraffic.Dialer(platformDialTimeout),
		MaxIdleConnsPerHost: platformIdleConns, IdleConnTimeout: platformIdleTimeout, DisableCompression: true,
	}
	return &persister.Persister{BaseURL: ser.Settings.Platform, Client: http.Client{Transport: tra}, Region: ser.Settings.Region}
}

// noticingLoader passes on what the engines of a cell say of themselves, for
// most hosts do not read their reports.
type noticingLoader struct {
	*invoker.Invoker
	watcher *watcher.Watcher
}

// Load reads an engine's load report.
func (loa noticingLoader) Load(ctx context.Context, address string) (invoker.Load, error) {
	rep, err := loa.Invoker.Load(ctx, address)
	if err == nil {
		loa.watcher.Report(rep, time.Now())
	}
	return rep, err
}

// Summary reads an engine's load report without the holders of its memory.
func (loa noticingLoader) Summary(ctx context.Context, address string) (invoker.Load, error) {
	rep, err := loa.Invoker.Summary(ctx, address)
	if err == nil {
		loa.watcher.Report(rep, time.Now())
	}
	return rep, err
}

// summaryLoader reads the short form of load reports.
type summaryLoader struct{ *invoker.Invoker }

// Load reads an engine's load report without the holders of its memory.
func (loa summaryLoader) Load(ctx context.Context, address string) (invoker.Load, error) {
	return loa.Summary(ctx, address)
}
