package querier

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

func TestPostReportsUnusableAnswers(t *testing.T) {
	tests := map[string]struct {
		status       int
		body         string
		wantCode     int // of the ErrStatus, 0 if there is none
		wantTooLarge bool
		wantOK       bool
	}{
		"200 with JSON":   {status: 200, body: `{"n":3}`, wantOK: true},
		"409 with JSON":   {status: 409, body: `{"n":3}`, wantCode: 409},
		"redirect":        {status: 307, body: ``, wantCode: 307},
		"too large":       {status: 200, body: `{"n":3` + strings.Repeat(" ", 100) + `}`, wantTooLarge: true},
		"not JSON":        {status: 200, body: `n`},
		"two JSON values": {status: 200, body: `{"n":3}{"n":4}`},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				is.Equal(r.Header.Get(HeaderFrom), "entry-a")
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(tc.status)
				_, _ = w.Write([]byte(tc.body))
			}))
			defer server.Close()
			client := NewClient(Settings{MaxAnswerBytes: 64, From: "entry-a"})
			defer client.Close()
			var out struct{ N int }
			err := client.Post(context.Background(), server.URL, struct{}{}, &out)
			is.Equal(err == nil, tc.wantOK)
			is.Equal(IsErrTooLarge(err), tc.wantTooLarge)
			status, ok := AsErrStatus(err)
			is.Equal(ok, tc.wantCode != 0)
			is.Equal(status.Code(), tc.wantCode)
		})
	}
}

func TestPostIsNotRetriedWhenTheAnswerIsLost(t *testing.T) {
	is := is.New(t)
	var received atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if received.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte(`{}`))
	}))
	defer server.Close()
	client := NewClient(Settings{MaxAnswerBytes: 64})
	defer client.Close()
	var out struct{}
	is.NoErr(client.Post(context.Background(), server.URL, out, &out))
	is.True(client.Post(context.Background(), server.URL, out, &out) != nil) // on the reused connection
	is.Equal(received.Load(), int64(2))
}
