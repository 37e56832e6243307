package rig3

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Call is a request of a consumer.
type Call struct {
	ID       string
	Method   string
	Host     string
	Path     string
	Body     string
	Deadline time.Duration
	// Header holds further headers.
	Header map[string]string
}

// Result is what came of a call.
type Result struct {
	Status int
	Seal   string
	Body   string
	// Err is the error of a call without a whole answer.
	Err  error
	Sent time.Time
	Took time.Duration
}

var lastCall atomic.Int64

// NextID returns a new ID of a request.
func NextID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastCall.Add(1)) }

// Do sends a call to a daemon on a new channel, and waits for its whole answer.
func (fle *Fleet) Do(hos *Host, cal Call) Result {
	if cal.ID == "" {
		cal.ID = NextID()
	}
	res := Result{Sent: time.Now()}
	ctx, stop := context.WithTimeout(context.Background(), cal.Deadline)
	defer stop()
	var body io.Reader
	if cal.Method == http.MethodPost {
		body = strings.NewReader(cal.Body)
	}
	req, err := http.NewRequestWithContext(ctx, cal.Method, hos.URL(cal.Path), body)
	if err != nil {
		res.Err = err
		return res
	}
	req.Host = cal.Host
	req.Header.Set("Request-Id", cal.ID)
	req.Header.Set("Request-Deadline", strconv.FormatInt(cal.Deadline.Milliseconds(), 10))
	for name, value := range cal.Header {
		req.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	answer, err := client.Do(req)
	if err != nil {
		res.Err = err
	} else {
		defer answer.Body.Close()
		buf, err := io.ReadAll(answer.Body)
		res.Status, res.Seal, res.Body, res.Err = answer.StatusCode, answer.Header.Get("Response-Seal"), string(buf), err
	}
	res.Took = time.Since(res.Sent)
	fle.Record.Line("caller", fmt.Sprintf("%s %s %s by %s: %d after %d ms, %d bytes, error %v", cal.ID, cal.Method, cal.Path, hos.Name, res.Status, res.Took.Milliseconds(), len(res.Body), res.Err))
	return res
}
