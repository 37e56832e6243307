package server

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"hemlockpin/connection/counter"
	"hemlockpin/connection/inspector"
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
	// staleAfter is the age from which the tables count as stale: answers carry the age
	// in a header, and the host logs a warning.
	staleAfter          = 30 * time.Second
	platformDialTimeout = time.Second
	platformIdleTimeout = 90 * time.Second
	platformIdleConns   = 8
	// updateTimeout bounds sending updates to peers and reading the list that they have
	// updated.
	updateTimeout = 5 * time.Second
)

// initGossiper connects membership with the tables, the platform's list, the notices of
// endpoints, the digests of cells and the retry budgets, which hosts exchange.
func (ser *Server) initGossiper() {
	set := ser.Settings
	ser.gossiper = &gossiper.Gossiper{
		Self: &messenger.Member{
			Id: set.HostID, Address: set.PeerListen, DataCenter: set.DataCenter, Region: set.Region, Incarnation: ser.Incarnation,
		},
		Multiplexer: ser.multiplexer, Publisher: ser.publisher, Entries: ser.watcher.Entries,
		Lister: ser.lister, OnListAdopted: ser.refreshList, Seeds: set.SeedPeers, Scope: ser.scope, Log: ser.Log,
		Payload: gossiper.Payload{
			Notices: ser.watcher.Notices.Outgoing, MergeNotices: ser.watcher.Notices.Merge, Cells: ser.cellDigestsFor, MergeCells: ser.mergeCellDigests,
			RetryBudget: ser.ownRetryBudget, MergeRetryBudget: ser.mergePeerRetryBudget,
		},
	}
	ser.watcher.OnNotices = func(nots []*messenger.EndpointNotice) {
		go ser.withUpdateTimeout(func(ctx context.Context) { ser.gossiper.BroadcastNotices(ctx, nots, true) })
	}
	ser.publisher.Broadcast = func(ctx context.Context) (int, int) { return ser.gossiper.PushTables(ctx, true) }
	ser.watcher.Evacuated = func(dataCenter string) bool { return ser.publisher.Current().Tables().Evacuated(dataCenter) }
	ser.publisher.OnAdopt = func(fromStore bool) {
		ser.watcher.EvacuationsChanged()
		ser.Log.Info().Uint64("Revision", ser.publisher.Current().Revision()).Bool("FromStore", fromStore).Msg("tables in force")
		go ser.withUpdateTimeout(func(ctx context.Context) { ser.gossiper.PushTables(ctx, fromStore) })
	}
	ser.refresher = &publisher.Refresher{
		Publisher: ser.publisher, Self: set.HostID, LiveHosts: ser.regionPeerIDs,
		OnError: func(error) { ser.scope.Counter("tables_refresh_failed").Inc(1) },
	}
}

func (ser *Server) withUpdateTimeout(fn func(context.Context)) {
	ctx, stop := context.WithTimeout(context.Background(), updateTimeout)
	defer stop()
	fn(ctx)
}

// newLister returns the lister, which keeps the host's copy of the platform's list.
func (ser *Server) newLister() *lister.Lister {
	incarnation := func() uint64 {
		current, _ := ser.gossiper.Incarnation(ser.Settings.HostID)
		return current
	}
	return &lister.Lister{
		Platform: &platformMonitor{Lister: ser.persister, log: ser.Log, scope: ser.scope}, Self: ser.Settings.HostID, Incarnation: incarnation, LivePeers: ser.regionPeerIDs,
		MinInterval: ser.Settings.ListInterval, LastReadBytes: ser.persister.ListBytes, Clock: time.Now,
		OnChange: func() { go ser.withUpdateTimeout(ser.gossiper.PushList) },
	}
}

// refreshList applies a list received from peers without waiting for the next interval.
func (ser *Server) refreshList() { go ser.withUpdateTimeout(ser.watcher.RefreshList) }

// regionPeerIDs returns the IDs of the live peers in this host's region.
func (ser *Server) regionPeerIDs() []string {
	var out []string
	for _, per := range ser.gossiper.Live(time.Now()) {
		if per.Region == ser.Settings.Region {
			out = append(out, per.ID)
		}
	}
	return out
}

// updateControlGauges updates the gauges of the tables, of membership and of the control
// traffic since the start.
func (ser *Server) updateControlGauges(now time.Time) {
	rev, age := ser.publisher.Freshness(now)
	ser.scope.Gauge("tables_revision").Update(float64(rev))
	ser.scope.Gauge("tables_age_seconds").Update(age.Seconds())
	ser.scope.Gauge("peers_live").Update(float64(len(ser.gossiper.Live(now))))
	ser.scope.Gauge("far_cells").Update(float64(ser.cells.OtherRegions.Count(ser.Settings.Region, now)))
	ser.scope.Gauge("peer_sessions").Update(float64(ser.multiplexer.Sessions()))
	for target, tra := range map[string]*counter.Traffic{
		"peer": &ser.multiplexer.Traffic, "platform": &ser.platformTraffic, "endpoint": &ser.invoker.Control,
	} {
		totals := tra.Totals()
		sco := ser.scope.Tagged(map[string]string{"with": target})
		sco.Gauge("control_bytes_sent").Update(float64(totals.Sent))
		sco.Gauge("control_bytes_received").Update(float64(totals.Received))
		sco.Gauge("control_connections_opened").Update(float64(totals.Opened))
	}
}

// setTablesAge adds the age of the tables to the headers of an answer if it is at least
// staleAfter.
func (ser *Server) setTablesAge(hea http.Header, now time.Time) {
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
	inspector.Attach(tra, nil)
	return &persister.Persister{BaseURL: ser.Settings.Platform, Client: http.Client{Transport: tra}, Region: ser.Settings.Region}
}

// recordingLoader passes the load reports that the scheduler reads to the watcher, which
// notifies the other hosts of leaving engines, since most hosts do not read these reports.
type recordingLoader struct {
	*invoker.Invoker
	watcher *watcher.Watcher
}

// Load reads an engine's load report.
func (loa recordingLoader) Load(ctx context.Context, address string) (invoker.Load, error) {
	rep, err := loa.Invoker.Load(ctx, address)
	if err == nil {
		loa.watcher.RecordLeaving(rep, time.Now())
	}
	return rep, err
}

// Summary reads an engine's load report without its list of sequences.
func (loa recordingLoader) Summary(ctx context.Context, address string) (invoker.Load, error) {
	rep, err := loa.Invoker.Summary(ctx, address)
	if err == nil {
		loa.watcher.RecordLeaving(rep, time.Now())
	}
	return rep, err
}

// summaryLoader reads the short form of load reports, without the list of sequences.
type summaryLoader struct{ *invoker.Invoker }

// Load reads an engine's load report without its list of sequences.
func (loa summaryLoader) Load(ctx context.Context, address string) (invoker.Load, error) {
	return loa.Summary(ctx, address)
}
