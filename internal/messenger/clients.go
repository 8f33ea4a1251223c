package messenger

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Limits of the connections to one peer.
const (
	peerIdleConnections = 2
	peerIdleTimeout     = 30 * time.Second
)

// Clients sends exchanges to peers by address and keeps one twirp client and its connections for each address.
// A call is made once: a twirp call that is made again is a second call.
type Clients struct {
	scheme  string
	timeout time.Duration
	http    *http.Client

	mu    sync.Mutex
	peers map[string]Peer
}

// NewClients returns Clients that give up on a call after timeout. A nil tlsConfig means plain HTTP.
func NewClients(timeout time.Duration, tlsConfig *tls.Config) *Clients {
	scheme := "http"
	if tlsConfig != nil {
		scheme = "https"
	}
	transport := &http.Transport{
		TLSClientConfig:     tlsConfig,
		MaxIdleConnsPerHost: peerIdleConnections,
		IdleConnTimeout:     peerIdleTimeout,
		DisableCompression:  true,
	}
	return &Clients{
		scheme:  scheme,
		timeout: timeout,
		http:    &http.Client{Transport: boundedTransport{transport}, CheckRedirect: refuseRedirect},
		peers:   map[string]Peer{},
	}
}

// Exchange sends req to the peer at address, host:port, once. On an error it is unknown whether the peer saw req.
func (c *Clients) Exchange(ctx context.Context, address string, req *ExchangeRequest) (*ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	reply, err := c.getPeerByAddress(address).Exchange(ctx, req)
	if err != nil {
		return nil, errors.Wrapf(err, "exchange with %s", address)
	}
	return reply, nil
}

// Retain forgets the clients of all addresses but those in keep.
func (c *Clients) Retain(keep []string) {
	kept := make(map[string]Peer, len(keep))
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range keep {
		if peer, ok := c.peers[address]; ok {
			kept[address] = peer
		}
	}
	c.peers = kept
}

// Close closes the connections that are idle.
func (c *Clients) Close() {
	c.http.CloseIdleConnections()
}

func (c *Clients) getPeerByAddress(address string) Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	peer, ok := c.peers[address]
	if !ok {
		peer = NewPeerProtobufClient(c.scheme+"://"+address, c.http)
		c.peers[address] = peer
	}
	return peer
}

func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// boundedTransport cuts each reply at MaxReplyBytes, so that decoding a longer one fails.
type boundedTransport struct {
	*http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t boundedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	resp.Body = boundedBody{Reader: io.LimitReader(resp.Body, MaxReplyBytes+1), Closer: resp.Body}
	return resp, nil
}

// boundedBody reads a bounded part of a body and closes the whole of it.
type boundedBody struct {
	io.Reader
	io.Closer
}
