package server

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/connection/persister"
	"hemlockpin/request/responder"
)

const (
	hostCallTimeout = 2 * time.Second
	// statusTimeout bounds a query of all hosts; hosts that have not answered by then
	// count as unresponsive.
	statusTimeout = 6 * time.Second
	// maxHostCalls is the number of hosts queried at a time. With 128, a thousand hosts
	// are queried within statusTimeout even if all hosts of one data centre are
	// unresponsive.
	maxHostCalls         = 128
	maxOperatorBodyBytes = 1 << 20
)

var errUnexpectedReply = errors.New("the host answered with another message")

// HostStatus is one host's entry in the status of all hosts: the host's own report, or
// the error of querying the host.
type HostStatus struct {
	Host            string
	DataCenter      string
	Incarnation     uint64
	Draining        bool
	Requests        int64
	TablesRevision  uint64
	TablesConfirmed time.Time
	Started         time.Time
	Peers           int64
	Endpoints       int64
	// Operator is the address of the host's listener for operators.
	Operator string
	// Error is set if the host did not answer or sent an unexpected reply; of the other
	// fields only Host and DataCenter are set then.
	Error string `json:",omitempty"`
}

// EndpointStatus is the answering host's view of one endpoint.
type EndpointStatus struct {
	persister.Entry
	// ReportAgeMs is -1 if the host has no load report of the endpoint.
	ReportAgeMs  int64
	MemoryTokens int64
	UsedTokens   int64
	QueuedTokens int64
	// Outstanding counts this host's requests on the endpoint.
	Outstanding int
}

func (ser *Server) statusReport() *messenger.StatusReport {
	return &messenger.StatusReport{
		Host: ser.Settings.HostID, DataCenter: ser.Settings.DataCenter, Incarnation: ser.Incarnation,
		Draining: ser.draining.Load(), Requests: int64(ser.admitter.InProgress()),
		TablesRevision: ser.publisher.Current().Revision(), TablesConfirmedMs: ser.publisher.Confirmed().UnixMilli(),
		Peers: int64(len(ser.gossiper.Peers())), Endpoints: int64(len(ser.watcher.Entries())),
		OperatorAddress: ser.Settings.Operator, StartedMs: ser.started.UnixMilli(),
	}
}

func newHostStatus(rep *messenger.StatusReport) HostStatus {
	return HostStatus{
		Host: rep.GetHost(), DataCenter: rep.GetDataCenter(), Incarnation: rep.GetIncarnation(), Draining: rep.GetDraining(),
		Requests: rep.GetRequests(), TablesRevision: rep.GetTablesRevision(), TablesConfirmed: time.UnixMilli(rep.GetTablesConfirmedMs()),
		Started: time.UnixMilli(rep.GetStartedMs()), Peers: rep.GetPeers(), Endpoints: rep.GetEndpoints(), Operator: rep.GetOperatorAddress(),
	}
}

// getHostStatuses queries every listed host. It is meant for operators, not for polling.
func (ser *Server) getHostStatuses(wri http.ResponseWriter, req *http.Request) {
	ents := ser.otherHosts()
	statuses := make([]HostStatus, len(ents), len(ents)+1)
	ser.callHosts(req.Context(), ents, func(ctx context.Context, i int, ent persister.Entry) {
		statuses[i] = ser.fetchStatus(ctx, ent)
	})
	statuses = append(statuses, newHostStatus(ser.statusReport()))
	slices.SortFunc(statuses, func(a, b HostStatus) int { return cmp.Compare(a.Host, b.Host) })
	responder.WriteJSON(wri, http.StatusOK, statuses)
}

// callHosts runs call for each host, up to maxHostCalls at a time, within statusTimeout.
func (ser *Server) callHosts(ctx context.Context, ents []persister.Entry, call func(ctx context.Context, i int, ent persister.Entry)) {
	ctx, stop := context.WithTimeout(ctx, statusTimeout)
	defer stop()
	sem := make(chan struct{}, maxHostCalls)
	var gro sync.WaitGroup
	for i, ent := range ents {
		sem <- struct{}{}
		gro.Go(func() {
			defer func() { <-sem }()
			call(ctx, i, ent)
		})
	}
	gro.Wait()
}

// callHost sends one message to a host within hostCallTimeout, for an operator's request.
func (ser *Server) callHost(ctx context.Context, ent persister.Entry, env *messenger.Envelope) (*messenger.Envelope, error) {
	ctx, stop := context.WithTimeout(ctx, hostCallTimeout)
	defer stop()
	return ser.multiplexer.Call(ctx, ent.Address, env)
}

// otherHosts returns the listed entry hosts but this one.
func (ser *Server) otherHosts() []persister.Entry {
	return slices.DeleteFunc(slices.Clone(ser.watcher.Entries()), func(ent persister.Entry) bool {
		return ent.Kind != persister.KindHost || ent.ID == ser.Settings.HostID
	})
}

func (ser *Server) fetchStatus(ctx context.Context, ent persister.Entry) HostStatus {
	rep, err := ser.callHost(ctx, ent, &messenger.Envelope{Body: &messenger.Envelope_StatusQuery{StatusQuery: &messenger.StatusQuery{}}})
	if err == nil && rep.GetStatusReport() == nil {
		err = errUnexpectedReply
	}
	if err != nil {
		return HostStatus{Host: ent.ID, DataCenter: ent.DataCenter, Error: err.Error()}
	}
	return newHostStatus(rep.GetStatusReport())
}

func (ser *Server) getEndpointStatuses(wri http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	statuses := []EndpointStatus{}
	for _, ent := range ser.watcher.Entries() {
		if ent.Kind == persister.KindHost {
			continue
		}
		statuses = append(statuses, ser.endpointStatus(ent, now))
	}
	slices.SortFunc(statuses, func(a, b EndpointStatus) int { return cmp.Compare(a.ID, b.ID) })
	responder.WriteJSON(wri, http.StatusOK, statuses)
}

func (ser *Server) endpointStatus(ent persister.Entry, now time.Time) EndpointStatus {
	out := EndpointStatus{Entry: ent, ReportAgeMs: -1}
	end := ser.watcher.Endpoint(ent.ID)
	out.Leaving = out.Leaving || end.Leaving
	out.MemoryTokens = end.MemoryTokens
	out.UsedTokens = end.UsedTokens
	out.QueuedTokens = end.QueuedTokens
	out.Outstanding = ser.allocator.Outstanding(ent.ID)
	if !end.ReportedAt.IsZero() {
		out.ReportAgeMs = now.Sub(end.ReportedAt).Milliseconds()
	}
	return out
}

// DrainRequest names the host to drain; an empty Host stands for the host that receives
// the request.
type DrainRequest struct{ Host string }

func (ser *Server) postDrain(wri http.ResponseWriter, htr *http.Request) {
	var req DrainRequest
	if err := json.NewDecoder(http.MaxBytesReader(wri, htr.Body, maxOperatorBodyBytes)).Decode(&req); err != nil && !errors.Is(err, io.EOF) {
		responder.WriteJSON(wri, http.StatusBadRequest, OperatorError{Code: "invalid_json", Message: err.Error()})
		return
	}
	if req.Host == "" || req.Host == ser.Settings.HostID {
		responder.WriteJSON(wri, http.StatusAccepted, DrainRequest{Host: ser.Settings.HostID})
		ser.startDrain()
		return
	}
	ser.forwardDrain(htr.Context(), wri, req)
}

func (ser *Server) forwardDrain(ctx context.Context, wri http.ResponseWriter, req DrainRequest) {
	ents := ser.otherHosts()
	i := slices.IndexFunc(ents, func(ent persister.Entry) bool { return ent.ID == req.Host })
	if i < 0 {
		responder.WriteJSON(wri, http.StatusNotFound, OperatorError{Code: "unknown_host", Message: fmt.Sprintf("no host %q is listed", req.Host)})
		return
	}
	_, err := ser.callHost(ctx, ents[i], &messenger.Envelope{Body: &messenger.Envelope_DrainOrder{DrainOrder: &messenger.DrainOrder{Host: req.Host}}})
	if err != nil {
		responder.WriteJSON(wri, http.StatusBadGateway, OperatorError{Code: "unknown", Message: err.Error()})
		return
	}
	responder.WriteJSON(wri, http.StatusAccepted, req)
}

func (ser *Server) handleDrainOrder(ord *messenger.DrainOrder) *messenger.Envelope {
	if ord.GetHost() != ser.Settings.HostID {
		return messenger.NewFailure("other_host", "this is host "+ser.Settings.HostID)
	}
	ser.startDrain()
	return &messenger.Envelope{Body: &messenger.Envelope_Done{Done: &messenger.Done{}}}
}

// startDrain starts a drain of this host for an operator.
func (ser *Server) startDrain() {
	ser.Log.Info().Msg("operator requested a drain; draining this host")
	ser.requestDrain()
}
