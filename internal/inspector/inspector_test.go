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

// source is a Source with fixed data, whose Status and Owner also return err.
type source struct{ err error }

func (s source) Status(context.Context) (Status, error) {
	return Status{Instance: "entry_1", Leader: Leader{Instance: "entry_1", Term: 4}, IsLeader: true}, s.err
}

func (s source) Owner(service string, key uint16) (OwnerAnswer, error) {
	if service != "desk" {
		return OwnerAnswer{}, NewErrNotFound("keyed service: " + service)
	}
	return OwnerAnswer{Instance: "entry_1", Service: service, Key: key, Server: "s1"}, s.err
}

func (source) Timeline() recorder.InstanceEvents {
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

func TestClientDecodesAnswersOfHandler(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	address, client := startServer(t, source{})
	status, err := client.GetStatus(ctx, address)
	is.NoErr(err)
	want, _ := source{}.Status(ctx)
	is.Equal(status, want)
	owner, err := client.GetOwner(ctx, address, "desk", 77)
	is.NoErr(err)
	is.Equal(owner, OwnerAnswer{Instance: "entry_1", Service: "desk", Key: 77, Server: "s1"})
	_, err = client.GetOwner(ctx, address, "vault", 77)
	is.True(IsErrNotFound(err))
	events, err := client.GetTimeline(ctx, address)
	is.NoErr(err)
	is.Equal(events, source{}.Timeline())
}

func TestHandlerStatusCodes(t *testing.T) {
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
		"metrics":      {path: "/metrics", want: http.StatusNotFound}, // the metrics handler of this test answers 404
		"timeline":     {path: "/timeline", want: http.StatusOK},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := httptest.NewRecorder()
			NewHandler(source{err: tc.err}, http.NotFoundHandler()).ServeHTTP(
				w, httptest.NewRequest(http.MethodGet, tc.path, nil))
			is.Equal(w.Code, tc.want)
		})
	}
}
