package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// cuttingServer is a backend server that answers each request with the first bytes of an answer and closes the connection, or resets
// it. How many bytes it sends, the client asks for in a header.
type cuttingServer struct {
	answer string
	resets bool
}

// headerCut is the number of bytes of the answer that a cuttingServer sends.
const headerCut = "X-Cut"

func (s *cuttingServer) start(t *testing.T) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return &scriptedServer{address: listener.Addr().String()}
}

func (s *cuttingServer) serve(conn net.Conn) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return // a probe
	}
	cut, _ := strconv.Atoi(r.Header.Get(headerCut))
	_, _ = io.WriteString(conn, s.answer[:cut])
	if s.resets {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// TestCutAnswerIsNoAnswer guards against a success with an empty or short body, framed as whole, for an answer that the server stopped
// in its head or body: each answer is cut after each of its bytes.
func TestCutAnswerIsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: r1\r\n"
	tests := map[string]struct {
		answer string
		resets bool
		whole  bool // the whole answer is one
	}{
		"content length":             {answer: head + "Content-Length: 12\r\n\r\nhello, world", whole: true},
		"content length first":       {answer: "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Signature: s\r\nX-Id: r1\r\n\r\nhello, world", whole: true},
		"chunked":                    {answer: head + "Transfer-Encoding: chunked\r\n\r\nc\r\nhello, world\r\n0\r\n\r\n", whole: true},
		"chunked with a trailer":     {answer: head + "Transfer-Encoding: chunked\r\n\r\nc\r\nhello, world\r\n0\r\nX-Sum: 1\r\n\r\n", whole: true},
		"after an interim answer":    {answer: "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 12\r\n\r\nhello, world", whole: true},
		"line feeds alone":           {answer: strings.ReplaceAll(head, "\r\n", "\n") + "Content-Length: 12\n\nhello, world", whole: true},
		"content length, reset":      {answer: head + "Content-Length: 12\r\n\r\nhello, world", resets: true},
		"until the connection reset": {answer: head + "Connection: close\r\n\r\nhello, world", resets: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := cuttingServer{answer: test.answer, resets: test.resets}
			address := server.start(t)
			for cut := range len(test.answer) {
				w := sendCut(newForwarder(t, address), cut) // a new one, as failures eject a server
				is.Equal(w.Code, 502)                       // the outcome is unknown
				is.Equal(w.Body.Len(), 0)
				is.Equal(w.Header().Get("Content-Length"), "0")
			}
			if test.whole {
				w := sendCut(newForwarder(t, address), len(test.answer))
				is.Equal(w.Code, 200)
				is.Equal(w.Body.String(), "hello, world")
			}
		})
	}
}

// TestAnswerUntilTheEndOfItsConnection guards against an answer without a length that counts although its head was cut: only its body
// may end with the connection.
func TestAnswerUntilTheEndOfItsConnection(t *testing.T) {
	is := is.New(t)
	const head = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: r1\r\nConnection: close\r\n\r\n"
	server := cuttingServer{answer: head + "hello, world"}
	address := server.start(t)
	for cut := range len(server.answer) + 1 {
		w := sendCut(newForwarder(t, address), cut)
		if cut < len(head) {
			is.Equal(w.Code, 502)
			is.Equal(w.Body.Len(), 0)
			continue
		}
		is.Equal(w.Code, 200)
		is.Equal(w.Body.String(), server.answer[len(head):cut])
	}
}

// sendCut sends a request that must not be repeated, whose answer is cut after a number of bytes.
func sendCut(f http.Handler, cut int) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/once/x", nil)
	r.Host = "h"
	r.Header.Set("X-Id", "r1")
	r.Header.Set(headerCut, fmt.Sprint(cut))
	w := httptest.NewRecorder()
	f.ServeHTTP(w, r)
	return w
}
