// Package requester is the client of the hosts' operator API.
package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"hemlockpin/connection/inspector"
	"hemlockpin/process/publisher"
	"hemlockpin/process/server"
	"hemlockpin/request/responder"
	"hemlockpin/version/parser"

	"github.com/rotisserie/eris"
)

const (
	readTimeout   = 10 * time.Second
	writeTimeout  = 30 * time.Second
	maxReplyBytes = 64 << 20
)

// UnreachableError means that no host answered. After a write, it means that the
// request was not sent, so that nothing changed.
type UnreachableError struct{ Causes []string }

// Error lists the cause for each host.
func (err *UnreachableError) Error() string {
	return "no host answered:\n  " + strings.Join(err.Causes, "\n  ")
}

// UnknownOutcomeError reports a write that may or may not have taken effect.
type UnknownOutcomeError struct {
	Host    string
	Message string
}

// Error names the host and the cause.
func (err *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("host %s: it is unknown whether the change was accepted: %s", err.Host, err.Message)
}

// ConflictError reports an edit that was refused because its base revision is no
// longer in force.
type ConflictError struct {
	Host    string
	Base    uint64
	Current parser.Tables
}

// Error names the host and the two revisions.
func (err *ConflictError) Error() string {
	return fmt.Sprintf("host %s: the edit was based on revision %d, but revision %d is in force; nothing was changed", err.Host, err.Base, err.Current.Revision)
}

// RejectedError reports an edit or order that was rejected as invalid, with every
// fault.
type RejectedError struct {
	// Host is where the faults were found: the word "host" and the host's URL, or
	// "this command" if the client validated the edit.
	Host    string
	Message string
	Faults  []string
}

// Error lists the faults.
func (err *RejectedError) Error() string {
	return fmt.Sprintf("%s: %s:\n  %s", err.Host, err.Message, strings.Join(err.Faults, "\n  "))
}

// StatusError reports an answer with a status outside 200 to 299 for which there is
// no other error type.
type StatusError struct {
	Host    string
	Status  int
	Code    string
	Message string
}

// Error names the host, the status, the code and the message.
func (err *StatusError) Error() string {
	return fmt.Sprintf("host %s: status %d %s: %s", err.Host, err.Status, err.Code, err.Message)
}

// Requester sends requests to the hosts at the given operator URLs. Reads try one
// host after the other until one answers. Writes go to the first host only: a write
// whose outcome is unknown must not be sent to another host.
type Requester struct {
	Hosts []string
	// Client sends the requests. If it has no transport, a transport is created at the first one.
	Client http.Client

	once sync.Once
}

func (req *Requester) client() *http.Client {
	req.once.Do(func() {
		if req.Client.Transport != nil {
			return
		}
		tra := &http.Transport{Proxy: http.ProxyFromEnvironment}
		inspector.Attach(tra, nil)
		req.Client.Transport = tra
	})
	return &req.Client
}

// Tables reads the tables in force.
func (req *Requester) Tables(ctx context.Context) (parser.Tables, error) {
	return read[parser.Tables](ctx, req, http.MethodGet, "/v1/tables", nil)
}

// Status reads one host's own status.
func (req *Requester) Status(ctx context.Context) (server.Status, error) {
	return read[server.Status](ctx, req, http.MethodGet, "/v1/status", nil)
}

// HostStatuses reads the status of all hosts, which the answering host collects.
func (req *Requester) HostStatuses(ctx context.Context) ([]server.HostStatus, error) {
	return read[[]server.HostStatus](ctx, req, http.MethodGet, "/v1/status/hosts", nil)
}

// EndpointStatuses reads one host's view of the endpoints.
func (req *Requester) EndpointStatuses(ctx context.Context) ([]server.EndpointStatus, error) {
	return read[[]server.EndpointStatus](ctx, req, http.MethodGet, "/v1/status/endpoints", nil)
}

// TeamsStatus reads the request counts of each team, summed over all hosts.
func (req *Requester) TeamsStatus(ctx context.Context) (server.TeamsStatus, error) {
	return read[server.TeamsStatus](ctx, req, http.MethodGet, "/v1/status/teams", nil)
}

// Explain reads which route, pool and endpoint one host would choose for a request.
func (req *Requester) Explain(ctx context.Context, expReq server.ExplainRequest) (server.Explanation, error) {
	return read[server.Explanation](ctx, req, http.MethodPost, "/v1/explain", expReq)
}

// History lists the accepted revisions.
func (req *Requester) History(ctx context.Context) (publisher.History, error) {
	return read[publisher.History](ctx, req, http.MethodGet, "/v1/tables/history", nil)
}

// Revision reads an accepted revision of the tables.
func (req *Requester) Revision(ctx context.Context, rev uint64) (parser.Tables, error) {
	return read[parser.Tables](ctx, req, http.MethodGet, "/v1/tables/history/"+strconv.FormatUint(rev, 10), nil)
}

// AcceptedEdit is the result of an accepted edit: the new tables and the number of
// hosts that use them.
type AcceptedEdit struct {
	Tables parser.Tables
	// InForce is the number of hosts known to have the edit in force at the time
	// of the answer.
	InForce int
}

// Put replaces the tables if their revision is still base. It returns an
// UnreachableError, RejectedError, ConflictError, UnknownOutcomeError or StatusError.
func (req *Requester) Put(ctx context.Context, tab parser.Tables, base uint64) (AcceptedEdit, error) {
	var out AcceptedEdit
	header := http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(base, 10))}}
	replyHeader, err := req.write(ctx, http.MethodPut, "/v1/tables", header, tab, &out.Tables)
	out.InForce, _ = strconv.Atoi(replyHeader.Get(responder.InForceHeader))
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		conflict.Base = base
	}
	return out, err
}

// Drain makes a host drain and stop; an empty name means the host that receives the
// request. It returns the name of the draining host.
func (req *Requester) Drain(ctx context.Context, host string) (string, error) {
	var out server.DrainRequest
	_, err := req.write(ctx, http.MethodPost, "/v1/drain", nil, server.DrainRequest{Host: host}, &out)
	return out.Host, err
}

// Order issues an order to an engine. A call may be repeated with the same ID: the
// engine carries out the orders of one ID only once.
func (req *Requester) Order(ctx context.Context, ord server.OrderRequest) (server.OrderReply, error) {
	var out server.OrderReply
	_, err := req.write(ctx, http.MethodPost, "/v1/orders", nil, ord, &out)
	var sta *StatusError
	// After a gateway timeout, the order may have reached the engine.
	if errors.As(err, &sta) && sta.Status == http.StatusGatewayTimeout {
		err = &UnknownOutcomeError{Host: sta.Host, Message: sta.Code + ": " + sta.Message}
	}
	return out, err
}

// read tries the hosts in order until one answers, even with an error status.
func read[T any](ctx context.Context, req *Requester, method, path string, in any) (T, error) {
	var causes []string
	for _, host := range req.Hosts {
		var out T
		maybeSent, _, err := req.exchange(ctx, readTimeout, method, host, path, nil, in, &out)
		if err == nil || maybeSent && isRefusal(err) {
			return out, err
		}
		causes = append(causes, err.Error())
	}
	var out T
	return out, &UnreachableError{causes}
}

// isRefusal reports whether err is a host's answer that refuses the request: a
// StatusError or RejectedError.
func isRefusal(err error) bool {
	var sta *StatusError
	var rej *RejectedError
	return errors.As(err, &sta) || errors.As(err, &rej)
}

// write sends a write to the first host. If the connection was made but the
// host does not report the outcome, it returns an UnknownOutcomeError.
func (req *Requester) write(ctx context.Context, method, path string, header http.Header, in, out any) (http.Header, error) {
	if len(req.Hosts) == 0 {
		return nil, &UnreachableError{[]string{"no host was named"}}
	}
	host := req.Hosts[0]
	maybeSent, replyHeader, err := req.exchange(ctx, writeTimeout, method, host, path, header, in, out)
	switch {
	case err == nil:
		return replyHeader, nil
	case !maybeSent:
		return nil, &UnreachableError{[]string{err.Error() + " (nothing was sent)"}}
	case isRefusal(err) || errors.As(err, new(*ConflictError)) || errors.As(err, new(*UnknownOutcomeError)):
		return nil, err
	default:
		return nil, &UnknownOutcomeError{Host: host, Message: err.Error()}
	}
}

// exchange sends a request to a host and decodes the answer into out. maybeSent
// reports whether the request may have reached the host.
func (req *Requester) exchange(ctx context.Context, timeout time.Duration, method, host, path string, header http.Header, in, out any) (maybeSent bool, replyHeader http.Header, err error) {
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	buf, err := json.Marshal(in)
	if err != nil {
		return false, nil, eris.Wrapf(err, "Requester.exchange: encode %s", path)
	}
	httpReq, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(host, "/")+path, bytes.NewReader(buf))
	if err != nil {
		return false, nil, eris.Wrapf(err, "Requester.exchange: host %s", host)
	}
	for name, values := range header {
		httpReq.Header[name] = values
	}
	res, err := req.client().Do(httpReq)
	if err != nil {
		return !isDialError(err), nil, eris.Wrapf(err, "Requester.exchange: host %s", host)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		return true, nil, eris.Wrapf(err, "Requester.exchange: answer of host %s", host)
	}
	if res.StatusCode/100 != 2 {
		return true, nil, answerError(host, res.StatusCode, body)
	}
	return true, res.Header, eris.Wrapf(json.Unmarshal(body, out), "Requester.exchange: decode answer of host %s", host)
}

// isDialError reports whether no connection was made, so that nothing was sent.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// answerError returns the error for an answer with a status outside 200 to 299.
func answerError(host string, status int, body []byte) error {
	var reply server.OperatorError
	if json.Unmarshal(body, &reply) != nil {
		reply.Message = strings.TrimSpace(string(body))
	}
	switch {
	case reply.Code == "raced" && reply.Current != nil:
		return &ConflictError{Host: host, Current: *reply.Current}
	case reply.Code == "rejected":
		return &RejectedError{Host: "host " + host, Message: reply.Message, Faults: reply.Faults}
	case reply.Code == "unknown":
		return &UnknownOutcomeError{Host: host, Message: reply.Message}
	default:
		return &StatusError{Host: host, Status: status, Code: reply.Code, Message: reply.Message}
	}
}
