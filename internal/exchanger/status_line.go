package exchanger

import (
	"bufio"
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// statusLineStart is the length of the part of a status line that has a fixed form: version, space, status and one more byte.
const statusLineStart = len("HTTP/1.1 200 ")

// maxStatus is the highest status that HTTP defines a class for.
const maxStatus = 599

// maxQuotedBytes bounds the bytes of an invalid status line in its error.
const maxQuotedBytes = 64

// errInvalidAnswer says that the first line of an answer is no status line, or has a status that the answer must not have. It says
// nothing about the request, which may have been executed.
type errInvalidAnswer struct{ line string }

// Error implements error.
func (e errInvalidAnswer) Error() string {
	return "invalid status line " + strconv.QuoteToASCII(e.line[:min(len(e.line), maxQuotedBytes)])
}

// IsErrInvalidAnswer reports whether err says that the first line of an answer was no valid status line of HTTP/1, or that there was
// no final answer after many informational ones.
func IsErrInvalidAnswer(err error) bool {
	var invalid errInvalidAnswer
	return errors.As(err, &invalid) || errors.Is(err, errTooManyInformational)
}

// checkStatusLine returns an error unless the next bytes of an answer begin a status line as RFC 9112, section 4, defines it, with a
// status from 100 to 599. http.ReadResponse also accepts other versions and statuses, signs and additional spaces. It returns nil
// if the answer ends before; reading it fails then.
func checkStatusLine(r *bufio.Reader) error {
	var start []byte
	for n := 1; n <= statusLineStart && !bytes.HasSuffix(start, []byte{'\n'}); n++ { // the server may send no more after a short line
		var err error
		if start, err = r.Peek(n); err != nil {
			return nil
		}
	}
	if len(start) == statusLineStart {
		version, status, end := string(start[:9]), start[9:12], start[12]
		if (version == "HTTP/1.1 " || version == "HTTP/1.0 ") && '1' <= status[0] && status[0] <= '5' &&
			isDigit(status[1]) && isDigit(status[2]) && (end == ' ' || end == '\r' || end == '\n') {
			return nil
		}
	}
	line, _ := r.Peek(min(r.Buffered(), maxQuotedBytes))
	first, _, _ := strings.Cut(string(line), "\n")
	return errInvalidAnswer{line: strings.TrimSuffix(first, "\r")}
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// CheckResponse returns an error for which IsErrInvalidAnswer is true if a response that net/http has read is no final answer of HTTP/1
// with a status from 200 to 599: net/http also takes other versions and statuses, and control bytes in the reason.
func CheckResponse(response *http.Response) error {
	isHTTP1 := response.ProtoMajor == 1 && response.ProtoMinor <= 1
	if !isHTTP1 || response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
		return errInvalidAnswer{line: response.Proto + " " + response.Status}
	}
	return checkReason(response)
}

// checkReason returns an error if the reason phrase of an answer contains control bytes other than tabs.
func checkReason(response *http.Response) error {
	isControl := func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
	if strings.ContainsFunc(response.Status, isControl) {
		return errInvalidAnswer{line: response.Proto + " " + response.Status}
	}
	return nil
}
