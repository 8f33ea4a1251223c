package runner

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"strings"
)

// plainRefusal is what net/http puts between status and text when it answers a request that it can't parse itself.
const plainRefusal = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"

// refusalListener gives the requests that net/http refuses before any handler sees them the typed JSON answer that every
// other refusal has.
type refusalListener struct {
	net.Listener
	entry string
}

// Accept implements net.Listener.
func (l refusalListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return refusalConn{Conn: conn, entry: l.entry}, nil
}

// refusalConn rewrites the refusals of net/http on one connection.
type refusalConn struct {
	net.Conn
	entry string
}

// Write implements net.Conn. It reports the length of data, whatever was written in its place.
func (c refusalConn) Write(data []byte) (int, error) {
	status, message, ok := splitRefusal(data)
	if !ok {
		return c.Conn.Write(data)
	}
	if _, err := c.Conn.Write(typedRefusal(status, message, c.entry)); err != nil {
		return 0, err
	}
	return len(data), nil
}

// splitRefusal returns status line and text of a refusal that net/http wrote itself. An answer of a handler never looks
// so: it has a Date between.
func splitRefusal(data []byte) (status, message string, ok bool) {
	if !bytes.HasPrefix(data, []byte("HTTP/1.1 4")) && !bytes.HasPrefix(data, []byte("HTTP/1.1 5")) {
		return "", "", false
	}
	return strings.Cut(string(data), plainRefusal)
}

// wireRefusal is the body of a typed refusal.
type wireRefusal struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Message string `json:"message"`
	Entry   string `json:"entry"`
}

func typedRefusal(status, message, entry string) []byte {
	body, err := json.Marshal(wireRefusal{Outcome: "not_run", Reason: "bad_request", Message: message, Entry: entry})
	if err != nil {
		body = []byte("{}")
	}
	head := fmt.Sprintf("%s\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: %d\r\n"+
		"Wasabibank-Outcome: not_run\r\nWasabibank-Reason: bad_request\r\nWasabibank-Entry: %s\r\n\r\n",
		status, len(body), entry)
	return append([]byte(head), body...)
}
