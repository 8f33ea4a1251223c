package messenger

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
	"go.uber.org/goleak"
)

const callTimeout = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// responderFunc makes a Responder of a function and counts its calls.
type responderFunc struct {
	calls   atomic.Int32
	respond func(*ExchangeRequest) (*ExchangeReply, error)
}

func (r *responderFunc) RespondExchange(_ context.Context, req *ExchangeRequest) (*ExchangeReply, error) {
	r.calls.Add(1)
	return r.respond(req)
}

func addressOf(server *httptest.Server) string {
	return server.Listener.Addr().String()
}

func TestExchange(t *testing.T) {
	tests := map[string]struct {
		req     *ExchangeRequest
		respond func(*ExchangeRequest) (*ExchangeReply, error)
		want    twirp.ErrorCode
		calls   int32
	}{
		"answered": {
			req: &ExchangeRequest{Instance: "a", Offset: 7, PledgeWanted: true},
			respond: func(req *ExchangeRequest) (*ExchangeReply, error) {
				return &ExchangeReply{Instance: "b", Offset: req.GetOffset(), Pledged: req.GetPledgeWanted()}, nil
			},
			calls: 1,
		},
		"no instance": {
			req:     &ExchangeRequest{},
			respond: func(*ExchangeRequest) (*ExchangeReply, error) { return &ExchangeReply{}, nil },
			want:    twirp.InvalidArgument,
		},
		"responder fails once": {
			req:     &ExchangeRequest{Instance: "a"},
			respond: func(*ExchangeRequest) (*ExchangeReply, error) { return nil, errors.New("not ready") },
			want:    twirp.Internal,
			calls:   1,
		},
		"request over the bound": {
			req:     &ExchangeRequest{Instance: "a", Hears: []string{strings.Repeat("x", MaxRequestBytes)}},
			respond: func(*ExchangeRequest) (*ExchangeReply, error) { return &ExchangeReply{}, nil },
			want:    twirp.Malformed,
		},
		"reply over the bound": {
			req: &ExchangeRequest{Instance: "a"},
			respond: func(*ExchangeRequest) (*ExchangeReply, error) {
				return &ExchangeReply{Refused: strings.Repeat("x", MaxReplyBytes)}, nil
			},
			want:  twirp.Internal,
			calls: 1,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			responder := &responderFunc{respond: tc.respond}
			server := httptest.NewServer(NewServer(responder).Handler())
			defer server.Close()
			clients := NewClients(callTimeout, nil)
			defer clients.Close()
			reply, err := clients.Exchange(t.Context(), addressOf(server), tc.req)
			is.Equal(responder.calls.Load(), tc.calls)
			if tc.want == twirp.NoError {
				is.NoErr(err)
				is.Equal(reply.GetOffset(), tc.req.GetOffset())
				is.Equal(reply.GetPledged(), tc.req.GetPledgeWanted())
				return
			}
			var failure twirp.Error
			is.True(errors.As(err, &failure))
			is.Equal(failure.Code(), tc.want)
		})
	}
}

func TestExchangeGivesUpOnASilentPeer(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer silent.Close()
	defer close(release)
	clients := NewClients(time.Millisecond, nil)
	defer clients.Close()
	_, err := clients.Exchange(t.Context(), addressOf(silent), &ExchangeRequest{Instance: "a"})
	is.True(errors.Is(err, context.DeadlineExceeded))
}

func TestRetainForgetsOtherPeers(t *testing.T) {
	is := is.New(t)
	clients := NewClients(callTimeout, nil)
	kept := clients.getPeerByAddress("127.0.0.1:1")
	clients.getPeerByAddress("127.0.0.1:2")
	clients.Retain([]string{"127.0.0.1:1", "127.0.0.1:3"})
	is.Equal(len(clients.peers), 1)
	is.Equal(clients.getPeerByAddress("127.0.0.1:1"), kept)
}

func TestBoundRecords(t *testing.T) {
	record := func(size int) *RelayedRecord { return &RelayedRecord{Data: make([]byte, size)} }
	many := make([]*RelayedRecord, MaxRelayedRecords+1)
	for i := range many {
		many[i] = record(1)
	}
	tests := map[string]struct {
		records []*RelayedRecord
		want    int
	}{
		"none":           {records: nil, want: 0},
		"within bounds":  {records: many[:3], want: 3},
		"too many":       {records: many, want: MaxRelayedRecords},
		"too many bytes": {records: []*RelayedRecord{record(MaxRelayedBytes), record(1)}, want: 1},
		"one too large":  {records: []*RelayedRecord{record(MaxRelayedBytes + 1)}, want: 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(len(BoundRecords(tc.records)), tc.want)
		})
	}
}
