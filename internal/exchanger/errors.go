package exchanger

import (
	"github.com/pkg/errors"
)

// ErrNotSent is a failure before any byte of the request left this process: the request was certainly not executed.
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

// ErrMaybeSent is a failure after a byte of the request may have left this process: the request may have been executed.
type ErrMaybeSent struct {
	cause error
}

// Error implements error.
func (e ErrMaybeSent) Error() string { return "may have been sent: " + e.cause.Error() }

// Unwrap returns the cause.
func (e ErrMaybeSent) Unwrap() error { return e.cause }

// IsErrMaybeSent reports whether err is an ErrMaybeSent.
func IsErrMaybeSent(err error) bool {
	var maybeSent ErrMaybeSent
	return errors.As(err, &maybeSent)
}

// ErrBody is a failure to read the request body that the caller supplied.
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

// IsErrPoolExhausted reports whether err says that all connections of a Pool were in use.
func IsErrPoolExhausted(err error) bool { return errors.Is(err, errPoolExhausted) }

var (
	errPoolClosed           = errors.New("pool is closed")
	errPoolExhausted        = errors.New("no connection became free in time")
	errTooManyInformational = errors.New("too many interim answers")
	errAnswerTooLong        = errors.New("answer is too long")
	errDeadlinePassed       = errors.New("deadline has passed")
)
