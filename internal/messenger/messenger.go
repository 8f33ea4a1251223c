// Package messenger carries heartbeats, pledges and relayed log records between entry instances over twirp.
//
// It is a thin shell: what an exchange means is decided by the Responder and by whoever calls Clients.Exchange.
package messenger

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"
)

// Bounds of one exchange.
const (
	// MaxRequestBytes bounds the body of an exchange that a server reads, in bytes.
	MaxRequestBytes = 1 << 20
	// MaxReplyBytes bounds the body of a reply that a client reads, in bytes.
	MaxReplyBytes = 4 << 20
	// MaxRelayedRecords bounds the relayed records of one reply.
	MaxRelayedRecords = 256
	// MaxRelayedBytes bounds the sum of the data of the relayed records of one reply, in bytes.
	MaxRelayedBytes = 1 << 20
)

// PathPrefix is the prefix of every path that a Server handles.
const PathPrefix = PeerPathPrefix

// Responder answers the exchanges of other instances.
type Responder interface {
	// RespondExchange answers req. It must not keep or change req after it returns.
	// Any error reaches the caller as a twirp internal error.
	RespondExchange(ctx context.Context, req *ExchangeRequest) (*ExchangeReply, error)
}

// Server serves Peer over HTTP and hands each exchange to a Responder.
type Server struct {
	responder Responder
}

// NewServer returns a Server that answers with responder.
func NewServer(responder Responder) *Server {
	return &Server{responder: responder}
}

// Exchange implements Peer. A request without an instance is refused as an invalid argument.
func (s *Server) Exchange(ctx context.Context, req *ExchangeRequest) (*ExchangeReply, error) {
	if req.GetInstance() == "" {
		return nil, twirp.RequiredArgumentError("instance")
	}
	reply, err := s.responder.RespondExchange(ctx, req)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	reply.Records = BoundRecords(reply.GetRecords())
	return reply, nil
}

// Handler returns the HTTP handler of the paths under PathPrefix; bodies over MaxRequestBytes are refused.
func (s *Server) Handler() http.Handler {
	return http.MaxBytesHandler(NewPeerServer(s), MaxRequestBytes)
}

// BoundRecords returns the longest prefix of records within MaxRelayedRecords and MaxRelayedBytes.
func BoundRecords(records []*RelayedRecord) []*RelayedRecord {
	size := 0
	for i, r := range records {
		size += len(r.GetData())
		if i == MaxRelayedRecords || size > MaxRelayedBytes {
			return records[:i]
		}
	}
	return records
}
