package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/wasabibank/wasabibank/platform"
)

// requestHost is the host of all requests.
const requestHost = "desk.example"

// request is a request of a client.
type request struct {
	entry   *entry
	method  string
	path    string
	id      string
	key     int // negative for none
	body    []byte
	timeout time.Duration
}

// answer is what the client got.
type answer struct {
	id     string
	status int // 0 without a complete answer
	err    error
	took   time.Duration
	reused bool // sent on a connection of an earlier request
	closed bool // the connection was closed or reset before the answer was complete
}

// keptConnections are connections that clients keep open for many requests.
type keptConnections struct{ transport *http.Transport }

func newKeptConnections() *keptConnections {
	const perEntry = 16
	return &keptConnections{transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: perEntry}}
}

// send sends a request on a new connection, once.
func send(r request) answer {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	return sendThrough(transport, r)
}

// sendThrough sends a request once, on a connection of transport.
func sendThrough(transport *http.Transport, r request) answer {
	reused := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }}
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout)
	defer cancel()
	started := time.Now()
	result := func(status int, err error) answer {
		closed := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
		return answer{id: r.id, status: status, err: err, took: time.Since(started), reused: reused, closed: closed}
	}
	ctx = httptrace.WithClientTrace(ctx, trace)
	url := "http://" + net.JoinHostPort(r.entry.ip, clientPort) + r.path
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, url, bytes.NewReader(r.body))
	if err != nil {
		return result(0, err)
	}
	httpRequest.GetBody = nil // no repetition by package http
	httpRequest.Host = requestHost
	httpRequest.Header.Set(platform.HeaderRequestID, r.id)
	httpRequest.Header.Set(platform.HeaderTimeLeft, strconv.FormatInt(r.timeout.Milliseconds(), 10))
	if r.key >= 0 {
		httpRequest.Header.Set(platform.HeaderKey, strconv.Itoa(r.key))
	}
	response, err := transport.RoundTrip(httpRequest)
	if err != nil {
		return result(0, err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return result(0, err)
	}
	return result(response.StatusCode, nil)
}

// load sends requests at a constant rate and collects the answers.
type load struct {
	record  *record
	kept    *keptConnections // nil if each request has a new connection
	mu      sync.Mutex
	answers []answer
	pending sync.WaitGroup
}

// run sends rate requests a second until the end; next returns the n-th one.
func (l *load) run(end time.Time, rate float64, next func(n int) request) {
	interval := time.Duration(float64(time.Second) / rate)
	due := time.Now()
	for n := 0; due.Before(end); n++ {
		time.Sleep(time.Until(due))
		due = due.Add(interval)
		l.start(next(n))
	}
	l.pending.Wait()
}

// start sends a request in the background.
func (l *load) start(r request) {
	l.pending.Add(1)
	l.record.line("sent %s %s %s key %d, %d bytes to %s", r.id, r.method, r.path, r.key, len(r.body), r.entry.name)
	go func() {
		defer l.pending.Done()
		var a answer
		if l.kept != nil {
			a = sendThrough(l.kept.transport, r)
		} else {
			a = send(r)
		}
		l.record.line("answered %s status %d after %.3f s%s", a.id, a.status, a.took.Seconds(), errorText(a.err))
		l.mu.Lock()
		defer l.mu.Unlock()
		l.answers = append(l.answers, a)
	}()
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return ": " + err.Error()
}

// count returns how many answers have a status.
func (l *load) count(status int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, a := range l.answers {
		if a.status == status {
			count++
		}
	}
	return count
}

// checkServed returns an error unless at least half of the requests were answered with 200, so that the case says something.
func (l *load) checkServed() error {
	served, sent := l.count(http.StatusOK), len(l.answers)
	l.record.line("served %d of %d requests", served, sent)
	if 2*served < sent {
		return fmt.Errorf("only %d of %d requests were served", served, sent)
	}
	return nil
}
