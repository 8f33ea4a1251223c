package runner

import (
	"bufio"
	"encoding/json"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestUnparsableRequestsAreRefusedTyped sends what net/http refuses before any handler sees it.
func TestUnparsableRequestsAreRefusedTyped(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := &http.Server{Handler: http.NotFoundHandler()}
	go func() { _ = server.Serve(refusalListener{Listener: listener, entry: "entry_1"}) }()
	defer server.Close()
	tests := map[string]struct {
		request string
		status  int
	}{
		"two content lengths": {"POST /s/a/b HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
		"bad escape":          {"GET /s/a/%zz HTTP/1.1\r\nHost: x\r\n\r\n", 400},
		"no host":             {"GET /s/a/b HTTP/1.1\r\n\r\n", 400},
		"unknown coding":      {"POST /s/a/b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: odd\r\n\r\n", 501},
		"no request at all":   {"\x00\x01\x02\r\n\r\n", 400},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			_, err = conn.Write([]byte(tc.request))
			is.NoErr(err)
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			defer answer.Body.Close()
			is.Equal(answer.StatusCode, tc.status)
			is.Equal(answer.Header.Get("Wasabibank-Outcome"), "not_run")
			var body wireRefusal
			is.NoErr(json.NewDecoder(answer.Body).Decode(&body))
			is.Equal(body.Outcome, "not_run")
			is.Equal(body.Entry, "entry_1")
			is.True(body.Message != "")
		})
	}
}
