// Package tailer is the client of the platform's append-only log. The log's form stays within this package.
package tailer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/requester"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

const (
	// MaxAppendBytes bounds the records of one append, before encoding.
	MaxAppendBytes = 8 << 20
	// MaxRecordBytes bounds one record, before encoding.
	MaxRecordBytes = 4 << 20
	// MaxPageRecords bounds the records of one read.
	MaxPageRecords = 4096
	maxPageBytes   = 32 << 20
	maxConnections = 4
)

// Record is one record of the log.
type Record struct {
	Offset identifier.Offset `json:"offset"`
	Data   []byte            `json:"data"`
}

// Page is the result of one read.
type Page struct {
	// FirstRetained is the oldest offset that the log still holds.
	FirstRetained identifier.Offset `json:"first_retained"`
	// Next is the offset after the log's newest record at the time of the read.
	Next    identifier.Offset `json:"next"`
	Records []Record          `json:"records"`
}

// AppendRequest is the body of POST /records.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendAnswer is the answer of POST /records.
type AppendAnswer struct {
	FirstOffset identifier.Offset `json:"first_offset"`
}

// ExpiredAnswer is the body of a 410 answer of GET /records.
type ExpiredAnswer struct {
	FirstRetained identifier.Offset `json:"first_retained"`
}

// ErrExpired reports a read from an offset that the log no longer holds.
type ErrExpired struct {
	firstRetained identifier.Offset
}

// Error implements error.
func (e ErrExpired) Error() string {
	return fmt.Sprintf("records expired: first retained offset is %d", e.firstRetained)
}

// FirstRetained returns the oldest offset that the log still holds.
func (e ErrExpired) FirstRetained() identifier.Offset { return e.firstRetained }

// IsErrExpired reports whether err is an ErrExpired.
func IsErrExpired(err error) bool {
	_, ok := AsErrExpired(err)
	return ok
}

// AsErrExpired returns the ErrExpired within err, if there is one.
func AsErrExpired(err error) (ErrExpired, bool) {
	var expired ErrExpired
	ok := errors.As(err, &expired)
	return expired, ok
}

// ErrUnavailable reports that the log gave no usable answer. An append may have taken effect all the same.
type ErrUnavailable struct {
	cause error
}

// Error implements error.
func (e ErrUnavailable) Error() string { return "log unavailable: " + e.cause.Error() }

// Unwrap returns the cause.
func (e ErrUnavailable) Unwrap() error { return e.cause }

// IsErrUnavailable reports whether err is an ErrUnavailable.
func IsErrUnavailable(err error) bool {
	var unavailable ErrUnavailable
	return errors.As(err, &unavailable)
}

// ErrTooLarge reports records over MaxRecordBytes or MaxAppendBytes; nothing was sent.
type ErrTooLarge struct {
	size, bound int
}

// Error implements error.
func (e ErrTooLarge) Error() string {
	return fmt.Sprintf("%d bytes of records are over the bound of %d", e.size, e.bound)
}

// IsErrTooLarge reports whether err is an ErrTooLarge.
func IsErrTooLarge(err error) bool {
	var large ErrTooLarge
	return errors.As(err, &large)
}

// Client appends to and reads from the log. It is safe for concurrent use.
type Client struct {
	url  string
	http *requester.Client
}

// NewClient returns a Client of the log at address, given as host:port.
func NewClient(address string) *Client { return NewNamedClient(address, "") }

// NewNamedClient returns a Client that gives its process's name with each request.
func NewNamedClient(address, name string) *Client {
	settings := requester.Settings{MaxConnections: maxConnections, MaxAnswerBytes: maxPageBytes, From: name}
	return &Client{url: "http://" + address + "/records", http: requester.NewClient(settings)}
}

// Append appends records in order and returns the offset of the first. An error is an ErrTooLarge or an
// ErrUnavailable; after the latter the records may have been appended.
func (c *Client) Append(ctx context.Context, records [][]byte) (identifier.Offset, error) {
	if err := checkSizes(records); err != nil {
		return 0, err
	}
	var answer AppendAnswer
	if err := c.http.Post(ctx, c.url, AppendRequest{Records: records}, &answer); err != nil {
		return 0, ErrUnavailable{cause: err}
	}
	return answer.FirstOffset, nil
}

// Read returns up to limit records, from is the first offset wanted. Where there is none yet it waits up to wait.
// An error is an ErrExpired or an ErrUnavailable.
func (c *Client) Read(ctx context.Context, from identifier.Offset, limit int, wait time.Duration) (Page, error) {
	limit = min(max(limit, 1), MaxPageRecords)
	url := fmt.Sprintf("%s?from=%d&max=%d&wait_ms=%d", c.url, from, limit, wait.Milliseconds())
	var page Page
	if err := c.http.Get(ctx, url, &page); err != nil {
		return Page{}, readError(err)
	}
	if err := checkPage(page, from); err != nil {
		return Page{}, ErrUnavailable{cause: err}
	}
	return page, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.Close() }

func checkSizes(records [][]byte) error {
	total := 0
	for _, record := range records {
		if len(record) > MaxRecordBytes {
			return ErrTooLarge{size: len(record), bound: MaxRecordBytes}
		}
		total += len(record)
	}
	if total > MaxAppendBytes {
		return ErrTooLarge{size: total, bound: MaxAppendBytes}
	}
	return nil
}

func readError(err error) error {
	status, ok := requester.AsErrStatus(err)
	if !ok || status.Code() != http.StatusGone {
		return ErrUnavailable{cause: err}
	}
	var expired ExpiredAnswer
	if err := json.Unmarshal(status.Body(), &expired); err != nil {
		return ErrUnavailable{cause: errors.Wrap(err, "decode 410 answer")}
	}
	return ErrExpired{firstRetained: expired.FirstRetained}
}

// checkPage refuses a page whose records do not follow one another from the offset asked for.
func checkPage(page Page, from identifier.Offset) error {
	for i, record := range page.Records {
		want := from + identifier.Offset(i)
		if record.Offset != want {
			return errors.Errorf("record has offset %d, want %d", record.Offset, want)
		}
	}
	if end := from + identifier.Offset(len(page.Records)); len(page.Records) > 0 && page.Next < end {
		return errors.Errorf("next is %d, below the records' end %d", page.Next, end)
	}
	return nil
}
