package forwarder

import (
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/allocator"
	"github.com/wasabibank/wasabibank/internal/matcher"
	"github.com/wasabibank/wasabibank/internal/queuer"
	"github.com/wasabibank/wasabibank/internal/resolver"
	"github.com/wasabibank/wasabibank/pkg/bundler"
)

// TestLackOfMemoryIsNoFaultOfOthers guards against servers that are ejected, and dispatchers that count as unreachable, because this
// instance has no memory for their answers.
func TestLackOfMemoryIsNoFaultOfOthers(t *testing.T) {
	tests := map[string]struct {
		err         error
		want        queuer.Outcome
		unreachable bool
	}{
		"no room in time":         {err: noMemoryError{allocator.Refuse{RetryAfter: time.Second}}, want: queuer.Inconclusive},
		"does not fit":            {err: noMemoryError{allocator.Refuse{TooLarge: true}}, want: queuer.Inconclusive},
		"answer without an end":   {err: errAnswerTooLong, want: queuer.Failed, unreachable: true},
		"answer that comes late":  {err: os.ErrDeadlineExceeded, want: queuer.TimedOut, unreachable: true},
		"answer that is cut":      {err: errors.New("cut"), want: queuer.Failed, unreachable: true},
		"answer in invalid chunk": {err: errors.New("malformed chunked encoding"), want: queuer.Failed, unreachable: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newForwarder(t, startScriptedServer(t, answerOK))
			req := &clientRequest{deadline: time.Now().Add(time.Minute)}
			r := f.exchangeFailure(t.Context(), req, "p", test.err)
			is.Equal(r.outcome, broken)
			is.True(r.maybeSent)
			is.Equal(queueOutcome(r, time.Second, time.Minute), test.want)
			r = f.hopFailure(t.Context(), req, resolver.Member{Instance: "other"}, test.err)
			is.Equal(r.outcome, broken)
			is.True(r.maybeSent)
			is.Equal(f.unreachableAt(time.Now())("other"), test.unreachable)
		})
	}
}

// TestDiscardedAnswerHoldsNoMemory guards against memory that a request holds for the answers of failed attempts while it is tried again.
func TestDiscardedAnswerHoldsNoMemory(t *testing.T) {
	body := strings.Repeat("x", 20<<10)
	tests := map[string]struct {
		reader io.Reader
		kept   bool
	}{
		"complete":     {reader: strings.NewReader(body), kept: true},
		"cut":          {reader: io.MultiReader(strings.NewReader(body), iotest.ErrReader(io.ErrUnexpectedEOF))},
		"does not end": {reader: io.MultiReader(strings.NewReader(body), endlessReader{})},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newForwarder(t, startScriptedServer(t, answerOK))
			const requestBytes = 1000
			h, err := f.memory.open(t.Context(), requestBytes, time.Now().Add(time.Minute), nil)
			is.NoErr(err)
			_, err = f.readAnswer(&clientRequest{memory: h}, test.reader)
			is.Equal(err == nil, test.kept)
			is.Equal(f.memory.held() > requestBytes, test.kept)
			h.close()
			is.Equal(f.memory.held(), int64(0))
		})
	}
}

// TestAnswerThatClientsDoNotGetHoldsNoMemory guards against the same for complete answers that are not passed on.
func TestAnswerThatClientsDoNotGetHoldsNoMemory(t *testing.T) {
	const head, tail = "HTTP/1.1 200 OK\r\nX-Id: r1\r\n", "Content-Length: 2\r\n\r\nhi"
	tests := map[string]struct {
		header string
		kept   bool
	}{
		"answer":                    {header: "X-Signature: s\r\n", kept: true},
		"rejection":                 {header: "X-Not-Executed: 1\r\n"},
		"answer without signature":  {header: ""},
		"answer with other content": {header: "X-Signature: s\r\nContent-Encoding: gzip\r\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newForwarder(t, startScriptedServer(t, head+test.header+tail))
			now := time.Now()
			h, err := f.memory.open(t.Context(), 0, now.Add(time.Minute), nil)
			is.NoErr(err)
			req := &clientRequest{id: "r1", method: "GET", uri: "/once/x", host: "h", header: http.Header{}, memory: h, deadline: now.Add(time.Minute)}
			r := f.exchange(t.Context(), now, req, "p")
			is.Equal(r.outcome == answered, test.kept)
			is.Equal(f.memory.held() > 0, test.kept)
		})
	}
}

// endlessReader is a body without an end.
type endlessReader struct{}

// Read implements io.Reader.
func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// TestWaitForMemoryIsNoStall guards against a body that counts as stalled because its client's bytes were not read while it waited for
// memory.
func TestWaitForMemoryIsNoStall(t *testing.T) {
	is := is.New(t)
	f := newForwarder(t, startScriptedServer(t, answerOK))
	const idle, memoryBytes = 150 * time.Millisecond, 1 << 20
	v := *f.View()
	v.Table = matcher.NewTable(bundler.New(2, nil, nil, bundler.Limits{IdleTimeout: idle}))
	f.SetView(time.Now(), &v)
	f.LimitBuffers(memoryBytes)
	end := time.Now().Add(time.Minute)
	other, err := f.memory.open(t.Context(), 0, end, nil)
	is.NoErr(err)
	is.NoErr(other.grow(t.Context(), memoryBytes, true)) // all of it
	h, err := f.memory.open(t.Context(), 0, end, nil)
	is.NoErr(err)
	defer h.close()
	time.AfterFunc(2*idle, other.close)
	var set time.Time
	deadline := &connDeadline{set: func(at time.Time) error {
		set = at
		return nil
	}}
	body := readerFunc(func([]byte) (int, error) {
		if !time.Now().Before(set) {
			return 0, os.ErrDeadlineExceeded
		}
		return 0, io.EOF
	})
	_, err = f.readPieces(body, h, deadline, end, -1, memoryBytes)
	is.NoErr(err)
}

// readerFunc is a function that is an io.Reader.
type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
