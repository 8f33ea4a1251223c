// Package querier is a client for JSON over HTTP that bounds the size of answers.
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

// HeaderFrom is the header with the name of the process that sends a request. It is absent if Settings.From is empty.
const HeaderFrom = "Wasabibank-From"

const (
	defaultConnectTimeout = 2 * time.Second
	idleTimeout           = 30 * time.Second
	maxIdlePerHost        = 2
	// maxErrorBodyBytes bounds how much of the body of an answer an ErrStatus keeps.
	maxErrorBodyBytes = 4 << 10
)

// ErrStatus reports an answer whose status is not 2xx. Redirects are such answers; they are not followed.
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

// Body returns the beginning of the answer's body, at most 4 KiB.
func (e ErrStatus) Body() []byte { return e.body }

// AsErrStatus returns the ErrStatus within err, if there is one.
func AsErrStatus(err error) (ErrStatus, bool) {
	var status ErrStatus
	ok := errors.As(err, &status)
	return status, ok
}

// ErrTooLarge reports an answer larger than Settings.MaxAnswerBytes.
type ErrTooLarge struct {
	maxBytes int64
}

// Error implements error.
func (e ErrTooLarge) Error() string { return fmt.Sprintf("answer is over %d bytes", e.maxBytes) }

// IsErrTooLarge reports whether err is an ErrTooLarge.
func IsErrTooLarge(err error) bool {
	var tooLarge ErrTooLarge
	return errors.As(err, &tooLarge)
}

// Settings are the settings of a Client.
type Settings struct {
	// ConnectTimeout bounds the time to connect; 0 means 2 s.
	ConnectTimeout time.Duration
	// AnswerTimeout bounds the time from the start of the request to the end of the answer; 0 leaves that to the context.
	AnswerTimeout time.Duration
	// MaxConnections bounds the connections to one address; 0 means no bound.
	MaxConnections int
	// MaxAnswerBytes bounds the body of one answer.
	MaxAnswerBytes int64
	// From is the value of HeaderFrom; an empty one is not sent.
	From string
}

// Client sends requests to any number of addresses. Use NewClient.
type Client struct {
	settings Settings
	http     *http.Client
}

// NewClient returns a Client without connections.
func NewClient(settings Settings) *Client {
	if settings.ConnectTimeout == 0 {
		settings.ConnectTimeout = defaultConnectTimeout
	}
	dialer := net.Dialer{Timeout: settings.ConnectTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     settings.MaxConnections,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{settings: settings, http: &http.Client{Transport: transport, CheckRedirect: refuseRedirect}}
}

// refuseRedirect makes a redirect the final answer.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Get requests url and decodes the JSON of the answer into out. The error is an ErrStatus, an ErrTooLarge or that of the
// transport or the decoder.
func (c *Client) Get(ctx context.Context, url string, out any) error {
	return c.do(ctx, http.MethodGet, url, nil, out)
}

// Post sends in as JSON to url and decodes the JSON of the answer into out. The error is an ErrStatus, an ErrTooLarge or
// that of the transport, the encoder or the decoder. After an ErrStatus the server's status says whether the request took
// effect; after any other error but that of the encoder it may have.
func (c *Client) Post(ctx context.Context, url string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	return c.do(ctx, http.MethodPost, url, body, out)
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// do sends one request with body as JSON and decodes the answer into out.
func (c *Client) do(ctx context.Context, method, url string, body []byte, out any) error {
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
	return c.decodeAnswer(response, out)
}

// decodeAnswer reads the whole body of an answer and decodes it into out.
func (c *Client) decodeAnswer(response *http.Response, out any) error {
	if response.StatusCode/100 != 2 {
		errorBody, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
		return ErrStatus{code: response.StatusCode, body: errorBody}
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, c.settings.MaxAnswerBytes+1))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if int64(len(data)) > c.settings.MaxAnswerBytes {
		return ErrTooLarge{maxBytes: c.settings.MaxAnswerBytes}
	}
	return errors.Wrap(json.Unmarshal(data, out), "decode answer")
}
