// Package lister is the client of the platform's instance list. The list lags: what it says is a hint only.
package lister

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/requester"
)

const (
	answerTimeout  = 5 * time.Second
	maxAnswerBytes = 4 << 20
	maxConnections = 2
)

// State says whether an instance is staying.
type State string

// The states of an instance.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is one line of the list.
type Instance struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	State   State  `json:"state"`
}

// ListAnswer is the answer of GET /instances.
type ListAnswer struct {
	Instances []Instance `json:"instances"`
}

// ErrUnavailable reports that the list gave no usable answer.
type ErrUnavailable struct {
	cause error
}

// Error implements error.
func (e ErrUnavailable) Error() string { return "instance list unavailable: " + e.cause.Error() }

// Unwrap returns the cause.
func (e ErrUnavailable) Unwrap() error { return e.cause }

// IsErrUnavailable reports whether err is an ErrUnavailable.
func IsErrUnavailable(err error) bool {
	var unavailable ErrUnavailable
	return errors.As(err, &unavailable)
}

// Client reads the instance list. It is safe for concurrent use.
type Client struct {
	url  string
	http *requester.Client
}

// NewClient returns a Client of the list at address, given as host:port.
func NewClient(address string) *Client {
	settings := requester.Settings{Answer: answerTimeout, MaxConnections: maxConnections, MaxAnswerBytes: maxAnswerBytes}
	return &Client{url: "http://" + address + "/instances", http: requester.NewClient(settings)}
}

// List returns the instances as the platform gives them. The error is an ErrUnavailable.
func (c *Client) List(ctx context.Context) ([]Instance, error) {
	var answer ListAnswer
	if err := c.http.Get(ctx, c.url, &answer); err != nil {
		return nil, ErrUnavailable{cause: err}
	}
	return answer.Instances, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.Close() }
