package drainer

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// answerBytes is the size of a large answer, which a client's receive buffer does not hold but the server's send buffer does.
const answerBytes = 256 << 10

// readLargeAnswer reads an answer of answerBytes slowly and reports whether it is complete.
func (c *client) readLargeAnswer() bool {
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Log(err)
		return false
	}
	defer response.Body.Close()
	total, chunk := 0, make([]byte, answerBytes/8)
	for err == nil {
		var n int
		n, err = io.ReadFull(response.Body, chunk)
		total += n
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Log(total, err)
	return total == answerBytes
}

// TestUnreadBytesDoNotCutAnswer guards against the reset of a connection with bytes that the server has not read, which discards
// what the client has not received of its answer.
func TestUnreadBytesDoNotCutAnswer(t *testing.T) {
	tests := map[string]struct {
		request, later string // later is sent while the request is in progress
		beforeDrain    bool   // the answer is written before connections are drained
	}{
		"next request": {request: "GET / HTTP/1.1\r\nHost: h\r\n\r\n", later: "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
		"long body": {
			request: "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n", later: strings.Repeat("x", 10000),
		},
		"short body that stalls": {
			request: "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n", later: strings.Repeat("x", 10000),
		},
		"next request, before the drain": {
			request: "GET / HTTP/1.1\r\nHost: h\r\n\r\n", later: "GET / HTTP/1.1\r\nHost: h\r\n\r\n", beforeDrain: true,
		},
		"nothing": {request: "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			started, finish, written := make(chan struct{}), make(chan struct{}), make(chan struct{})
			d := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
				close(started)
				<-finish
				w.Header().Set("Connection", "close")
				_, _ = w.Write(make([]byte, answerBytes))
				close(written)
			})
			c := dial(t, d)
			is.NoErr(c.conn.(*net.TCPConn).SetReadBuffer(16384))
			_, err := io.WriteString(c.conn, test.request)
			is.NoErr(err)
			<-started
			_, err = io.WriteString(c.conn, test.later)
			is.NoErr(err)
			exit, cancel := context.WithCancel(context.Background())
			cancel()
			if !test.beforeDrain {
				is.True(d.Drain(exit) != nil)
			}
			close(finish)
			<-written
			time.Sleep(100 * time.Millisecond) // the server may close the connection now
			finished := make(chan error, 1)
			go func() {
				lastByte, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				finished <- d.FinishAnswers(lastByte)
			}()
			is.True(c.readLargeAnswer())
			is.NoErr(c.conn.Close())
			is.NoErr(<-finished)
		})
	}
}

// TestExitWaitsForAnswersOnly guards against an exit that cuts the answer to a client that reads slowly, against one that a client
// holds by not reading, and against one that waits although no answer is left.
func TestExitWaitsForAnswersOnly(t *testing.T) {
	tests := map[string]struct {
		request  string
		reads    bool
		wantDone bool
	}{
		"client reads slowly":      {request: "GET /large HTTP/1.1\r\nHost: h\r\n\r\n", reads: true, wantDone: true},
		"client does not read":     {request: "GET /large HTTP/1.1\r\nHost: h\r\n\r\n"},
		"header stalls":            {request: "GET / HTTP/1.1\r\nHo", wantDone: true},
		"body of a refusal stalls": {request: "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\nhalf", wantDone: true},
		"idle":                     {wantDone: true},
	}
	const hugeFactor = 64 // exceeds all buffers on the way
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Connection", "close")
				if r.URL.Path == "/large" {
					_, _ = w.Write(make([]byte, hugeFactor*answerBytes))
				}
			})
			c := dial(t, d)
			_, err := io.WriteString(c.conn, test.request)
			is.NoErr(err)
			d.waitForConns(1)
			time.Sleep(100 * time.Millisecond) // the request is in progress
			exit, cancel := context.WithCancel(context.Background())
			cancel()
			is.True(d.Drain(exit) != nil)
			limit := 10 * time.Second
			if !test.wantDone {
				limit = 300 * time.Millisecond
			}
			lastByte, cancel := context.WithTimeout(context.Background(), limit)
			defer cancel()
			finished := make(chan error, 1)
			go func() { finished <- d.FinishAnswers(lastByte) }()
			if test.reads {
				time.Sleep(50 * time.Millisecond)
				is.Equal(len(finished), 0)
				total, err := io.Copy(io.Discard, c.in)
				is.NoErr(err)
				is.True(total > hugeFactor*answerBytes)
				is.NoErr(c.conn.Close())
			}
			is.Equal(<-finished == nil, test.wantDone)
			is.Equal(lastByte.Err() == nil, test.wantDone)
		})
	}
}
