package lab

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// HostName is the host name of all routes.
const HostName = "lab.example"

// Request is one consumer attempt.
type Request struct {
	ID, Method, Path, Key string
	// Deadline is the time that the consumer waits.
	Deadline time.Duration
	Header   map[string]string
	Body     string
}

// Answer is what a consumer has got.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// Err is set if the answer did not come or is not complete.
	Err error
}

// Send sends a request to a host on a new channel and reads the answer.
func Send(rec *Record, front string, req Request) Answer {
	ctx, stop := context.WithTimeout(context.Background(), req.Deadline+time.Second)
	defer stop()
	cli := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	htr, err := http.NewRequestWithContext(ctx, req.Method, "http://"+front+req.Path, strings.NewReader(req.Body))
	if err != nil {
		return Answer{Err: err}
	}
	htr.Host = HostName
	htr.Header.Set("Request-Id", req.ID)
	htr.Header.Set("Request-Deadline", fmt.Sprint(req.Deadline.Milliseconds()))
	if req.Key != "" {
		htr.Header.Set("Authorization", "Token "+req.Key)
	}
	for name, value := range req.Header {
		htr.Header.Set(name, value)
	}
	rec.Printf("consumer sends %s %s %s with the key %q to %s", req.ID, req.Method, req.Path, req.Key, front)
	res, err := cli.Do(htr)
	if err != nil {
		rec.Printf("consumer got no answer to %s: %v", req.ID, err)
		return Answer{Err: err}
	}
	defer res.Body.Close()
	buf, err := io.ReadAll(res.Body)
	rec.Printf("consumer got %d for %s, %d bytes, error %v, Retry-After %q", res.StatusCode, req.ID, len(buf), err, res.Header.Get("Retry-After"))
	return Answer{Status: res.StatusCode, Header: res.Header, Body: string(buf), Err: err}
}
