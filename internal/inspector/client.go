package inspector

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/wasabibank/wasabibank/internal/querier"
	"github.com/wasabibank/wasabibank/internal/recorder"
)

// maxAnswerBytes bounds an answer of the admin API; the status of a large deployment is the largest.
const maxAnswerBytes = 16 << 20

// Client asks the admin ports of instances. Use NewClient.
type Client struct{ querier *querier.Client }

// NewClient returns a Client that gives up on a question after timeout.
func NewClient(timeout time.Duration) *Client {
	settings := querier.Settings{ConnectTimeout: timeout, AnswerTimeout: timeout, MaxAnswerBytes: maxAnswerBytes}
	return &Client{querier: querier.NewClient(settings)}
}

// Close closes the idle connections.
func (c *Client) Close() { c.querier.Close() }

// GetStatus asks the instance at address, host:port, for its status.
func (c *Client) GetStatus(ctx context.Context, address string) (Status, error) {
	return get[Status](ctx, c, address, pathStatus)
}

// GetOwner asks the instance at address for the owner of a key. The error is an ErrNotFound where there is no such keyed
// service.
func (c *Client) GetOwner(ctx context.Context, address, service string, key uint16) (OwnerAnswer, error) {
	query := url.Values{"service": {service}, "key": {strconv.Itoa(int(key))}}
	answer, err := get[OwnerAnswer](ctx, c, address, pathOwner+"?"+query.Encode())
	if status, ok := querier.AsErrStatus(err); ok && status.Code() == http.StatusNotFound {
		return answer, NewErrNotFound("keyed service: " + service)
	}
	return answer, err
}

// GetTimeline asks the instance at address for its events.
func (c *Client) GetTimeline(ctx context.Context, address string) (recorder.Page, error) {
	return get[recorder.Page](ctx, c, address, pathTimeline)
}

func get[T any](ctx context.Context, c *Client, address, path string) (T, error) {
	var answer T
	err := c.querier.Get(ctx, "http://"+address+path, &answer)
	return answer, err
}
