// Package invoker is the client of endpoints: model engines and plain services.
// All knowledge of their wire format stands here.
package invoker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
)

const (
	dialTimeout        = 500 * time.Millisecond
	idleConnTimeout    = 30 * time.Second
	maxIdlePerEndpoint = 64
)

// ErrSilent marks a connection on which nothing arrived within the timeout.
var ErrSilent = eris.New("invoker: no progress within the timeout")

// Execution says whether a request ran on an endpoint.
type Execution string

// Executions. An error is NotRun only where that is certain.
const (
	NotRun  Execution = "NotRun"
	Ran     Execution = "Ran"
	Unknown Execution = "Unknown"
)

// Error is a failure at an endpoint with the step and the peer.
type Error struct {
	Step   string
	Peer   string
	Status int
	Code   string
	Ran    Execution
	Err    error
}

// Error formats the failure.
func (err *Error) Error() string {
	return fmt.Sprintf("%s: endpoint %s: status %d %s: %v", err.Step, err.Peer, err.Status, err.Code, err.Err)
}

// Unwrap returns the cause.
func (err *Error) Unwrap() error { return err.Err }

// Invoker calls endpoints by address. Its zero value is ready.
type Invoker struct {
	once   sync.Once
	htc    *http.Client
	single *http.Client
}

func (inv *Invoker) client() *http.Client {
	inv.once.Do(func() {
		dia := &net.Dialer{Timeout: dialTimeout}
		inv.htc = &http.Client{Transport: &http.Transport{
			DialContext:         dia.DialContext,
			MaxIdleConnsPerHost: maxIdlePerEndpoint,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		}}
		inv.single = &http.Client{
			Transport: &http.Transport{
				DialContext:        dia.DialContext,
				DisableKeepAlives:  true,
				DisableCompression: true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	})
	return inv.htc
}

// clientFor picks the client of a call. The transport of net/http sends a
// request again by itself when a reused connection fails under it, so a call
// that must run at most once gets a connection of its own.
func (inv *Invoker) clientFor(cal ServiceCall) *http.Client {
	htc := inv.client()
	if cal.Once {
		return inv.single
	}
	return htc
}

// Condemn closes idle connections, so that later calls dial anew.
func (inv *Invoker) Condemn() { inv.client().CloseIdleConnections() }

func inject(ctx context.Context, req *http.Request) {
	req.Header.Set("Content-Type", "application/json")
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
}

// ranAfterSend is NotRun only if no connection was made.
func ranAfterSend(err error) Execution {
	var ope *net.OpError
	if errors.As(err, &ope) && ope.Op == "dial" {
		return NotRun
	}
	return Unknown
}

func replyError(step, address string, res *http.Response) error {
	var bod struct {
		Code    string
		Message string
		Ran     Execution
	}
	buf, _ := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if json.Unmarshal(buf, &bod) != nil || bod.Ran == "" {
		bod.Ran = Unknown
	}
	return &Error{Step: step, Peer: address, Status: res.StatusCode, Code: bod.Code, Ran: bod.Ran, Err: eris.New(bod.Message)}
}

func (inv *Invoker) get(ctx context.Context, step, address, path string, out any) error {
	return inv.exchange(ctx, step, address, http.MethodGet, path, nil, out)
}

func (inv *Invoker) post(ctx context.Context, step, address, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return &Error{Step: step, Peer: address, Ran: NotRun, Err: err}
	}
	return inv.exchange(ctx, step, address, http.MethodPost, path, body, out)
}

func (inv *Invoker) exchange(ctx context.Context, step, address, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return &Error{Step: step, Peer: address, Ran: NotRun, Err: err}
	}
	inject(ctx, req)
	res, err := inv.client().Do(req)
	if err != nil {
		return &Error{Step: step, Peer: address, Ran: ranAfterSend(err), Err: err}
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return replyError(step, address, res)
	}
	if out == nil {
		_, _ = io.Copy(io.Discard, res.Body)
		return nil
	}
	err = json.NewDecoder(io.LimitReader(res.Body, maxReplyBytes)).Decode(out)
	if err != nil {
		return &Error{Step: step + ": decode", Peer: address, Ran: Ran, Err: err}
	}
	return nil
}
