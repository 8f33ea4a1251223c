package inspector

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/recorder"
)

// fakeSource is a Source with fixed data. Its Status and Owner also return err.
type fakeSource struct{ err error }

func (s fakeSource) Status(context.Context) (Status, error) {
	return Status{Instance: "entry_1", Leader: Leader{Instance: "entry_1", Term: 4}, IsLeader: true}, s.err
}

func (s fakeSource) Owner(service string, key uint16) (OwnerAnswer, error) {
	if service != "desk" {
		return OwnerAnswer{}, NewErrNotFound("keyed service: " + service)
	}
	return OwnerAnswer{Instance: "entry_1", Service: service, Key: key, Server: "s1"}, s.err
}

func (fakeSource) Timeline() recorder.InstanceEvents {
	return recorder.InstanceEvents{Instance: "entry_1", Events: []recorder.Event{{Instance: "entry_1", Message: "stop"}}}
}

// startServer serves the admin API for s and returns its address and a client.
func startServer(t *testing.T, s Source) (string, *Client) {
	t.Helper()
	server := httptest.NewServer(NewHandler(s, http.NotFoundHandler()))
	t.Cleanup(server.Close)
	client := NewClient(time.Minute)
	t.Cleanup(client.Close)
	return strings.TrimPrefix(server.URL, "http://"), client
}

// TestClientDecodesAnswersOfHandler guards against a client whose paths or JSON differ from those of the handler.
func TestClientDecodesAnswersOfHandler(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	address, client := startServer(t, fakeSource{})
	status, err := client.GetStatus(ctx, address)
	is.NoErr(err)
	want, _ := fakeSource{}.Status(ctx)
	is.Equal(status, want)
	owner, err := client.GetOwner(ctx, address, "desk", 77)
	is.NoErr(err)
	is.Equal(owner, OwnerAnswer{Instance: "entry_1", Service: "desk", Key: 77, Server: "s1"})
	_, err = client.GetOwner(ctx, address, "vault", 77)
	is.True(IsErrNotFound(err))
	events, err := client.GetTimeline(ctx, address)
	is.NoErr(err)
	is.Equal(events, fakeSource{}.Timeline())
}

// TestHandlerAnswersInvalidAndFailedRequestsWithErrorStatus guards against failures that a client takes for an answer.
func TestHandlerAnswersInvalidAndFailedRequestsWithErrorStatus(t *testing.T) {
	tests := map[string]struct {
		path string
		err  error
		want int
	}{
		"no key":          {path: "/owner?service=desk", want: http.StatusBadRequest},
		"key too large":   {path: "/owner?service=desk&key=65536", want: http.StatusBadRequest},
		"no service":      {path: "/owner?key=1", want: http.StatusBadRequest},
		"unknown service": {path: "/owner?service=vault&key=1", want: http.StatusNotFound},
		"no configuration": {
			path: "/owner?service=desk&key=1", err: errors.New("no bundle"), want: http.StatusServiceUnavailable,
		},
		"status fails": {path: "/status", err: errors.New("busy"), want: http.StatusServiceUnavailable},
		"unknown path": {path: "/other", want: http.StatusNotFound},
		"metrics":      {path: "/metrics", want: http.StatusTeapot}, // as the metrics handler of this test answers
		"timeline":     {path: "/timeline", want: http.StatusOK},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := httptest.NewRecorder()
			metrics := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
			NewHandler(fakeSource{err: tc.err}, metrics).ServeHTTP(
				w, httptest.NewRequest(http.MethodGet, tc.path, nil))
			is.Equal(w.Code, tc.want)
		})
	}
}
