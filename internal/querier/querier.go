// Package querier exchanges JSON over HTTP with the platform and with backend servers, with bounded answers.
package querier

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// HeaderFrom names the process that sends a request; it is empty where the process gave no name.
const HeaderFrom = "Wasabibank-From"

const (
	defaultConnectTimeout = 2 * time.Second
	idleTimeout           = 30 * time.Second
	idlePerHost           = 2
	// messageBytes bounds how much of a refused exchange's body an error keeps.
	messageBytes = 4 << 10
)

// ErrStatus reports an answer whose status is not 2xx.
type ErrStatus struct {
	code int
	body []byte
}

// Error implements error.
func (e ErrStatus) Error() string {
	return fmt.Sprintf("status %d: %s", e.code, bytes.TrimSpace(e.body))
}

// Code returns the HTTP status.
func (e ErrStatus) Code() int { return e.code }

// Body returns the first bytes of the answer's body.
func (e ErrStatus) Body() []byte { return e.body }

// AsErrStatus returns the ErrStatus within err, if there is one.
func AsErrStatus(err error) (ErrStatus, bool) {
	var status ErrStatus
	ok := errors.As(err, &status)
	return status, ok
}

// ErrTooLarge reports an answer over the bound.
type ErrTooLarge struct {
	bound int64
}

// Error implements error.
func (e ErrTooLarge) Error() string { return fmt.Sprintf("answer is over %d bytes", e.bound) }

// IsErrTooLarge reports whether err is an ErrTooLarge.
func IsErrTooLarge(err error) bool {
	var large ErrTooLarge
	return errors.As(err, &large)
}

// Settings are the settings of a Client.
type Settings struct {
	// ConnectTimeout bounds the time to connect; 0 is two seconds.
	ConnectTimeout time.Duration
	// AnswerTimeout bounds the time from the request to the whole answer; 0 leaves it to the context.
	AnswerTimeout time.Duration
	// MaxConnections bounds the connections to one address; 0 is no bound.
	MaxConnections int
	// MaxAnswerBytes bounds the body of one answer.
	MaxAnswerBytes int64
	// From is sent as HeaderFrom.
	From string
}

// Client exchanges JSON with any number of addresses. Use NewClient.
type Client struct {
	settings Settings
	http     *http.Client
}

// NewClient returns a Client.
func NewClient(settings Settings) *Client {
	if settings.ConnectTimeout == 0 {
		settings.ConnectTimeout = defaultConnectTimeout
	}
	dialer := net.Dialer{Timeout: settings.ConnectTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     settings.MaxConnections,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{settings: settings, http: &http.Client{Transport: transport, CheckRedirect: refuseRedirect}}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Get reads url and decodes the answer into out. An error is an ErrStatus, an ErrTooLarge or that of the transport.
func (c *Client) Get(ctx context.Context, url string, out any) error {
	return c.exchange(ctx, http.MethodGet, url, nil, out)
}

// Post sends in to url and decodes the answer into out. An error is an ErrStatus, an ErrTooLarge or that of the
// transport; after any of them but an ErrStatus the request may have taken effect.
func (c *Client) Post(ctx context.Context, url string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	return c.exchange(ctx, http.MethodPost, url, body, out)
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) exchange(ctx context.Context, method, url string, body []byte, out any) error {
	if c.settings.AnswerTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.settings.AnswerTimeout)
		defer cancel()
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	request.Header.Set("Content-Type", "application/json")
	if c.settings.From != "" {
		request.Header.Set(HeaderFrom, c.settings.From)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "exchange")
	}
	defer response.Body.Close()
	return c.decode(response, out)
}

func (c *Client) decode(response *http.Response, out any) error {
	if response.StatusCode/100 != 2 {
		message, _ := io.ReadAll(io.LimitReader(response.Body, messageBytes))
		return ErrStatus{code: response.StatusCode, body: message}
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, c.settings.MaxAnswerBytes+1))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if int64(len(data)) > c.settings.MaxAnswerBytes {
		return ErrTooLarge{bound: c.settings.MaxAnswerBytes}
	}
	return errors.Wrap(json.Unmarshal(data, out), "decode answer")
}
