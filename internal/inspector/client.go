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

// maxAnswerBytes limits the size of an answer. The largest answer is the status of a large deployment.
const maxAnswerBytes = 16 << 20

// Client queries the admin API of instances. Use NewClient.
type Client struct{ querier *querier.Client }

// NewClient returns a Client whose requests time out after timeout.
func NewClient(timeout time.Duration) *Client {
	settings := querier.Settings{ConnectTimeout: timeout, AnswerTimeout: timeout, MaxAnswerBytes: maxAnswerBytes}
	return &Client{querier: querier.NewClient(settings)}
}

// Close closes idle connections.
func (c *Client) Close() { c.querier.Close() }

// GetStatus returns the status of the instance at address, host:port.
func (c *Client) GetStatus(ctx context.Context, address string) (Status, error) {
	return getJSON[Status](ctx, c, address, pathStatus)
}

// GetOwner returns the owner of a key according to the instance at address, host:port. The error is an ErrNotFound if the
// answer has status 404: the instance knows no such keyed service, or address does not serve the admin API.
func (c *Client) GetOwner(ctx context.Context, address, service string, key uint16) (OwnerAnswer, error) {
	query := url.Values{"service": {service}, "key": {strconv.Itoa(int(key))}}
	answer, err := getJSON[OwnerAnswer](ctx, c, address, pathOwner+"?"+query.Encode())
	if status, ok := querier.AsErrStatus(err); ok && status.Code() == http.StatusNotFound {
		return answer, NewErrNotFound("keyed service: " + service)
	}
	return answer, err
}

// GetTimeline returns the events that the instance at address, host:port, has recorded.
func (c *Client) GetTimeline(ctx context.Context, address string) (recorder.InstanceEvents, error) {
	return getJSON[recorder.InstanceEvents](ctx, c, address, pathTimeline)
}

// getJSON requests path from address and decodes the JSON answer.
func getJSON[T any](ctx context.Context, c *Client, address, path string) (T, error) {
	var answer T
	err := c.querier.Get(ctx, "http://"+address+path, &answer)
	return answer, err
}
