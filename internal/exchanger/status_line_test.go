package exchanger

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// FuzzStatusLine checks that an answer that is read has a status of HTTP and a reason without control bytes, whatever its first line.
func FuzzStatusLine(f *testing.F) {
	for _, line := range []string{
		"HTTP/1.1 200 OK", "HTTP/1.0 200", "HTTP/1.1 000 OK", "HTTP/1.1 099 Odd", "HTTP/1.1 600 Odd", "HTTP/1.1 999 Odd", "HTTP/1.1 20 OK",
		"HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 2OO OK", "HTTP/1.1 2 00 OK", "HTTP/1.1  200 OK", "HTTP/3.7 200 OK",
		"HTTP/1.1 200 O\x00K", "HTTP/1.1 101 Switching Protocols", "OK", "",
	} {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, line string) {
		answer := line + "\r\nContent-Length: 0\r\n\r\n"
		reader := bufio.NewReader(strings.NewReader(answer))
		if checkStatusLine(reader) != nil {
			return
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil || checkReason(response) != nil {
			return
		}
		is := is.New(t)
		is.True(response.StatusCode >= 100 && response.StatusCode <= 599)
		is.True(response.ProtoMajor == 1 && response.ProtoMinor <= 1)
		is.True(!strings.ContainsAny(response.Status, "\x00\x1b\x7f"))
	})
}

// TestInvalidAnswerIsQuotedAndBounded guards against log lines that an invalid answer breaks or fills.
func TestInvalidAnswerIsQuotedAndBounded(t *testing.T) {
	is := is.New(t)
	err := checkStatusLine(bufio.NewReader(strings.NewReader("HTTP/1.1 000 \x1b[2J" + strings.Repeat("x", 1<<20))))
	is.True(IsErrInvalidAnswer(err))
	is.True(strings.Contains(err.Error(), `"HTTP/1.1 000 \x1b[2J`))
	is.True(len(err.Error()) < 300)
}
