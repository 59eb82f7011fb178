package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// newID returns the identity of an attempt.
func newID() string { return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, lastID.Add(1)) }

// outcome is what a client got.
type outcome struct {
	id     string
	status int
	header http.Header
	body   []byte
	// whole means that the answer ended in order.
	whole bool
	err   error
	took  time.Duration
}

// send sends one request on a connection of its own and reads the answer.
func send(v *vm, method, path string, body []byte, timeout time.Duration, header map[string]string) outcome {
	o := outcome{id: newID()}
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+v.front()+path, bytes.NewReader(body))
	if err != nil {
		o.err = err
		return o
	}
	r.Host = host
	r.Header.Set("X-Attempt-Id", o.id)
	r.Header.Set("X-Api-Key", key)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	for name, value := range header {
		r.Header.Set(name, value)
	}
	o.id = r.Header.Get("X-Attempt-Id")
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	answer, err := transport.RoundTrip(r)
	if err != nil {
		o.err, o.took = err, time.Since(began)
		return o
	}
	defer func() { _ = answer.Body.Close() }()
	o.status, o.header = answer.StatusCode, answer.Header
	o.body, o.err = io.ReadAll(answer.Body)
	o.whole, o.took = o.err == nil, time.Since(began)
	return o
}

// prompt returns the headers of a request to an engine.
func prompt(id int) map[string]string {
	return map[string]string{
		"X-Model": "m", "X-Token-Count": "1460,80", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,91bd%04x:410,e440%04x:250", id, id),
	}
}
