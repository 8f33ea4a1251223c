// Package exchanger sends one HTTP request over one persistent connection and reads its answer.
// Nothing in it ever sends a request a second time, and each failure says whether a byte may have left.
package exchanger

import (
	"github.com/pkg/errors"
)

// ErrNotSent is a failure before any byte of the request left this process: the request was certainly not run.
type ErrNotSent struct {
	cause error
}

// Error implements error.
func (e ErrNotSent) Error() string { return "not sent: " + e.cause.Error() }

// Unwrap returns the cause.
func (e ErrNotSent) Unwrap() error { return e.cause }

// IsErrNotSent reports whether err is an ErrNotSent.
func IsErrNotSent(err error) bool {
	var notSent ErrNotSent
	return errors.As(err, &notSent)
}

// ErrMaybeSent is a failure after a byte of the request may have left: the request may have run.
type ErrMaybeSent struct {
	cause error
}

// Error implements error.
func (e ErrMaybeSent) Error() string { return "may have been sent: " + e.cause.Error() }

// Unwrap returns the cause.
func (e ErrMaybeSent) Unwrap() error { return e.cause }

// IsErrMaybeSent reports whether err is an ErrMaybeSent.
func IsErrMaybeSent(err error) bool {
	var maybe ErrMaybeSent
	return errors.As(err, &maybe)
}

// ErrBody is a failure to read the body of the request from the caller.
type ErrBody struct {
	cause error
}

// Error implements error.
func (e ErrBody) Error() string { return "request body: " + e.cause.Error() }

// Unwrap returns the cause.
func (e ErrBody) Unwrap() error { return e.cause }

// IsErrBody reports whether err is an ErrBody.
func IsErrBody(err error) bool {
	var body ErrBody
	return errors.As(err, &body)
}

// IsErrPoolExhausted reports whether err says that no connection became free within the connect timeout.
func IsErrPoolExhausted(err error) bool { return errors.Is(err, errBusy) }

var (
	errPoolClosed  = errors.New("pool is closed")
	errBusy        = errors.New("no connection became free in time")
	errUpgrade     = errors.New("unexpected switch of protocols")
	errInterim     = errors.New("too many interim answers")
	errHeadTooLong = errors.New("head of the answer is too long")
	errTooLate     = errors.New("deadline has passed")
)
