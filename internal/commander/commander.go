// Package commander gives commands to backend servers: grants, revokes, drains and cancels.
// The form of the commands stays within this package.
package commander

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/requester"
)

const (
	maxAnswerBytes = 64 << 10
	maxConnections = 8
)

// Timeouts bound one command.
type Timeouts struct {
	// Connect bounds the time to connect; 0 is two seconds.
	Connect time.Duration
	// Answer bounds the time from the command to its answer; 0 leaves it to the context.
	Answer time.Duration
}

// ErrUnavailable reports that a backend server gave no usable answer. The command may have taken effect.
type ErrUnavailable struct {
	cause error
}

// Error implements error.
func (e ErrUnavailable) Error() string { return "backend server unavailable: " + e.cause.Error() }

// Unwrap returns the cause.
func (e ErrUnavailable) Unwrap() error { return e.cause }

// IsErrUnavailable reports whether err is an ErrUnavailable.
func IsErrUnavailable(err error) bool {
	var unavailable ErrUnavailable
	return errors.As(err, &unavailable)
}

// Client sends commands to backend servers at addresses given as host:port. It is safe for concurrent use.
// The error of each command is an ErrUnavailable; a refusal is an answer.
type Client struct {
	http *requester.Client
}

// NewClient returns a Client.
func NewClient(timeouts Timeouts) *Client {
	settings := requester.Settings{
		Connect:        timeouts.Connect,
		Answer:         timeouts.Answer,
		MaxConnections: maxConnections,
		MaxAnswerBytes: maxAnswerBytes,
	}
	return &Client{http: requester.NewClient(settings)}
}

// Grant sends the whole set of partitions that the server may serve.
func (c *Client) Grant(ctx context.Context, address string, grant Grant) (GrantAnswer, error) {
	var wire WireGrantAnswer
	if err := c.post(ctx, address, "/control/grant", newWireGrant(grant), &wire); err != nil {
		return GrantAnswer{}, err
	}
	return GrantAnswer{
		Accepted: wire.Accepted,
		Checks:   wire.Checks,
		Term:     wire.Term,
		Refused:  wire.Refused,
		Running:  wire.Load.Running,
		Queued:   wire.Load.Queued,
		Nonce:    wire.Nonce,
	}, nil
}

// Revoke takes partitions from the server and returns after nothing of them runs there any more.
func (c *Client) Revoke(ctx context.Context, address string, revoke Revoke) (Answer, error) {
	return c.command(ctx, address, "/control/revoke", revoke)
}

// Drain tells the server to refuse new work.
func (c *Client) Drain(ctx context.Context, address string, drain Drain) (Answer, error) {
	return c.command(ctx, address, "/control/drain", drain)
}

// Cancel tells the server that nobody waits for a request any more.
func (c *Client) Cancel(ctx context.Context, address string, cancel Cancel) (Answer, error) {
	return c.command(ctx, address, "/control/cancel", cancel)
}

// Health reads what the server says of its health.
func (c *Client) Health(ctx context.Context, address string) (Health, error) {
	var health Health
	err := c.http.Get(ctx, "http://"+address+"/health", &health)
	return health, unavailable(err)
}

// Load reads what the server says of its load.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var load Load
	err := c.http.Get(ctx, "http://"+address+"/load", &load)
	return load, unavailable(err)
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.Close() }

func (c *Client) command(ctx context.Context, address, path string, in any) (Answer, error) {
	var answer Answer
	err := c.post(ctx, address, path, in, &answer)
	return answer, err
}

func (c *Client) post(ctx context.Context, address, path string, in, out any) error {
	return unavailable(c.http.Post(ctx, "http://"+address+path, in, out))
}

func unavailable(err error) error {
	if err == nil {
		return nil
	}
	return ErrUnavailable{cause: err}
}
