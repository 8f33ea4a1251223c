package presenter

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/requester"
	"github.com/wasabibank/wasabibank/internal/tracer"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// maxAnswerBytes bounds an answer of the admin API that a Client reads; a full time line is the largest.
const maxAnswerBytes = 128 << 20

// Client asks the admin ports of instances. Use NewClient.
type Client struct {
	requester *requester.Client
}

// NewClient returns a Client that gives up on a question after timeout.
func NewClient(timeout time.Duration) *Client {
	settings := requester.Settings{Connect: timeout, Answer: timeout, MaxAnswerBytes: maxAnswerBytes, From: "operator"}
	return &Client{requester: requester.NewClient(settings)}
}

// Close closes the idle connections.
func (c *Client) Close() { c.requester.Close() }

// GetReadiness asks the instance at address, host:port, whether it takes requests.
func (c *Client) GetReadiness(ctx context.Context, address string) (Readiness, error) {
	readiness, err := get[Readiness](ctx, c, address, pathReady)
	if status, ok := requester.AsErrStatus(err); ok && status.Code() == http.StatusServiceUnavailable {
		err = errors.Wrap(json.Unmarshal(status.Body(), &readiness), "decode readiness")
	}
	return readiness, err
}

// GetStatus asks the instance at address for its status.
func (c *Client) GetStatus(ctx context.Context, address string) (Status, error) {
	return get[Status](ctx, c, address, pathStatus)
}

// GetOwner asks the instance at address for the owner of a key. The error is an ErrNotFound where the bundle has no
// such keyed service.
func (c *Client) GetOwner(ctx context.Context, address string, service identifier.ServiceName, key string) (OwnerAnswer, error) {
	query := url.Values{"service": {string(service)}, "key": {key}}
	answer, err := get[OwnerAnswer](ctx, c, address, pathOwner+"?"+query.Encode())
	if status, ok := requester.AsErrStatus(err); ok && status.Code() == http.StatusNotFound {
		return answer, NewErrNotFound("keyed service: " + string(service))
	}
	return answer, err
}

// GetTimeline asks the instance at address for its events.
func (c *Client) GetTimeline(ctx context.Context, address string) (tracer.Page, error) {
	return get[tracer.Page](ctx, c, address, pathTimeline)
}

func get[T any](ctx context.Context, c *Client, address, path string) (T, error) {
	var answer T
	err := c.requester.Get(ctx, "http://"+address+path, &answer)
	return answer, err
}
