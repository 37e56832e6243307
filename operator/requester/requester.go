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
	"time"

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

// UnreachableError reports that no host answered and nothing was sent or, for a
// read, that the answer does not matter.
type UnreachableError struct{ Causes []string }

// Error lists what each host said.
func (err *UnreachableError) Error() string {
	return "no host answered:\n  " + strings.Join(err.Causes, "\n  ")
}

// UnknownOutcomeError reports a write that may or may not have taken effect.
type UnknownOutcomeError struct {
	Host    string
	Message string
}

// Error formats the failure.
func (err *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("host %s: it is unknown whether the change was accepted: %s", err.Host, err.Message)
}

// ConflictError reports an edit that was refused because another edit had changed
// the revision that it was based on.
type ConflictError struct {
	Host    string
	Base    uint64
	Current parser.Tables
}

// Error formats the failure.
func (err *ConflictError) Error() string {
	return fmt.Sprintf("host %s: the edit was based on revision %d, but revision %d is in force; nothing was changed", err.Host, err.Base, err.Current.Revision)
}

// RejectedError lists every fault of a refused edit or order.
type RejectedError struct {
	// Host says who found the faults.
	Host    string
	Message string
	Faults  []string
}

// Error lists the faults.
func (err *RejectedError) Error() string {
	return fmt.Sprintf("%s: %s:\n  %s", err.Host, err.Message, strings.Join(err.Faults, "\n  "))
}

// StatusError is any other answer of a host with a status outside 200 to 299.
type StatusError struct {
	Host    string
	Status  int
	Code    string
	Message string
}

// Error formats the refusal.
func (err *StatusError) Error() string {
	return fmt.Sprintf("host %s: status %d %s: %s", err.Host, err.Status, err.Code, err.Message)
}

// Requester asks the hosts at the given operator URLs. Reads go to the first
// that answers, writes to the first only.
type Requester struct {
	Hosts  []string
	Client http.Client
}

// Tables reads the tables in force.
func (req *Requester) Tables(ctx context.Context) (parser.Tables, error) {
	return read[parser.Tables](ctx, req, http.MethodGet, "/v1/tables", nil)
}

// Status reads what one host says of itself.
func (req *Requester) Status(ctx context.Context) (server.Status, error) {
	return read[server.Status](ctx, req, http.MethodGet, "/v1/status", nil)
}

// HostStatuses reads the state of all hosts through one of them.
func (req *Requester) HostStatuses(ctx context.Context) ([]server.HostStatus, error) {
	return read[[]server.HostStatus](ctx, req, http.MethodGet, "/v1/status/hosts", nil)
}

// EndpointStatuses reads the endpoints as one host knows them.
func (req *Requester) EndpointStatuses(ctx context.Context) ([]server.EndpointStatus, error) {
	return read[[]server.EndpointStatus](ctx, req, http.MethodGet, "/v1/status/endpoints", nil)
}

// TeamsStatus reads the counts of each team over all hosts.
func (req *Requester) TeamsStatus(ctx context.Context) (server.TeamsStatus, error) {
	return read[server.TeamsStatus](ctx, req, http.MethodGet, "/v1/status/teams", nil)
}

// Explain asks which way a request would take.
func (req *Requester) Explain(ctx context.Context, exp server.ExplainRequest) (server.Explanation, error) {
	return read[server.Explanation](ctx, req, http.MethodPost, "/v1/explain", exp)
}

// History lists the accepted revisions.
func (req *Requester) History(ctx context.Context) (publisher.History, error) {
	return read[publisher.History](ctx, req, http.MethodGet, "/v1/tables/history", nil)
}

// Revision reads an accepted revision of the tables.
func (req *Requester) Revision(ctx context.Context, rev uint64) (parser.Tables, error) {
	return read[parser.Tables](ctx, req, http.MethodGet, "/v1/tables/history/"+strconv.FormatUint(rev, 10), nil)
}

// AcceptedEdit is an accepted edit.
type AcceptedEdit struct {
	Tables parser.Tables
	// InForce counts the hosts known to have the edit in force when it was
	// answered.
	InForce int
}

// Put replaces the tables if their revision is still base. Its errors are
// UnreachableError, RejectedError, ConflictError, UnknownOutcomeError and
// StatusError.
func (req *Requester) Put(ctx context.Context, tab parser.Tables, base uint64) (AcceptedEdit, error) {
	var out AcceptedEdit
	hea := http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(base, 10))}}
	ans, err := req.write(ctx, http.MethodPut, "/v1/tables", hea, tab, &out.Tables)
	out.InForce, _ = strconv.Atoi(ans.Get(responder.InForceHeader))
	var rac *ConflictError
	if errors.As(err, &rac) {
		rac.Base = base
	}
	return out, err
}

// Drain makes a host drain and stop; empty stands for the host asked. It
// returns the name of the draining host.
func (req *Requester) Drain(ctx context.Context, host string) (string, error) {
	var out server.DrainRequest
	_, err := req.write(ctx, http.MethodPost, "/v1/drain", nil, server.DrainRequest{Host: host}, &out)
	return out.Host, err
}

// Order gives an order to an engine. An order with the same ID may be repeated.
func (req *Requester) Order(ctx context.Context, ord server.OrderRequest) (server.OrderReply, error) {
	var out server.OrderReply
	_, err := req.write(ctx, http.MethodPost, "/v1/orders", nil, ord, &out)
	var ans *StatusError
	if errors.As(err, &ans) && ans.Status == http.StatusGatewayTimeout {
		err = &UnknownOutcomeError{Host: ans.Host, Message: ans.Code + ": " + ans.Message}
	}
	return out, err
}

// read tries one host after the other.
func read[T any](ctx context.Context, req *Requester, method, path string, in any) (T, error) {
	var cau []string
	for _, hos := range req.Hosts {
		var out T
		sen, _, err := req.exchange(ctx, readTimeout, method, hos, path, nil, in, &out)
		if err == nil || sen && isAnswer(err) {
			return out, err
		}
		cau = append(cau, err.Error())
	}
	var out T
	return out, &UnreachableError{cau}
}

func isAnswer(err error) bool {
	var ans *StatusError
	var rej *RejectedError
	return errors.As(err, &ans) || errors.As(err, &rej)
}

func (req *Requester) write(ctx context.Context, method, path string, hea http.Header, in, out any) (http.Header, error) {
	if len(req.Hosts) == 0 {
		return nil, &UnreachableError{[]string{"no host was named"}}
	}
	hos := req.Hosts[0]
	sen, ans, err := req.exchange(ctx, writeTimeout, method, hos, path, hea, in, out)
	switch {
	case err == nil:
		return ans, nil
	case !sen:
		return nil, &UnreachableError{[]string{err.Error() + " (nothing was sent)"}}
	case isAnswer(err) || errors.As(err, new(*ConflictError)) || errors.As(err, new(*UnknownOutcomeError)):
		return nil, err
	default:
		return nil, &UnknownOutcomeError{Host: hos, Message: err.Error()}
	}
}

// exchange reports whether the request may have reached the host.
func (req *Requester) exchange(ctx context.Context, timeout time.Duration, method, host, path string, hea http.Header, in, out any) (sent bool, ans http.Header, err error) {
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	buf, err := json.Marshal(in)
	if err != nil {
		return false, nil, eris.Wrapf(err, "Requester.exchange: encode %s", path)
	}
	htr, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(host, "/")+path, bytes.NewReader(buf))
	if err != nil {
		return false, nil, eris.Wrapf(err, "Requester.exchange: host %s", host)
	}
	for nam, val := range hea {
		htr.Header[nam] = val
	}
	res, err := req.Client.Do(htr)
	if err != nil {
		return !notSent(err), nil, eris.Wrapf(err, "Requester.exchange: host %s", host)
	}
	defer res.Body.Close()
	txt, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		return true, nil, eris.Wrapf(err, "Requester.exchange: answer of host %s", host)
	}
	if res.StatusCode/100 != 2 {
		return true, nil, answerError(host, res.StatusCode, txt)
	}
	return true, res.Header, eris.Wrapf(json.Unmarshal(txt, out), "Requester.exchange: decode answer of host %s", host)
}

// notSent reports that no connection was made.
func notSent(err error) bool {
	var ope *net.OpError
	return errors.As(err, &ope) && ope.Op == "dial"
}

func answerError(host string, status int, txt []byte) error {
	var bod server.OperatorError
	if json.Unmarshal(txt, &bod) != nil {
		bod.Message = strings.TrimSpace(string(txt))
	}
	switch {
	case bod.Code == "raced" && bod.Current != nil:
		return &ConflictError{Host: host, Current: *bod.Current}
	case bod.Code == "rejected":
		return &RejectedError{Host: "host " + host, Message: bod.Message, Faults: bod.Faults}
	case bod.Code == "unknown":
		return &UnknownOutcomeError{Host: host, Message: bod.Message}
	default:
		return &StatusError{Host: host, Status: status, Code: bod.Code, Message: bod.Message}
	}
}
