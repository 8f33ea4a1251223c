package presenter

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/tracer"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

const callTimeout = 30 * time.Second

var present = time.Date(2026, 12, 3, 22, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixedSource shows the same all the time.
type fixedSource struct {
	reason string
}

func (s fixedSource) Ready(time.Time) (bool, string) { return s.reason == "", s.reason }

func (s fixedSource) Status(now time.Time) Status {
	return Status{Instance: "a", Offset: 7, Bundle: Bundle{Version: 2, Accepted: Provenance{Time: now}}}
}

func (s fixedSource) Owner(service identifier.ServiceName, key string) (OwnerAnswer, error) {
	switch service {
	case "desk":
		return OwnerAnswer{Service: service, Key: key, Server: "s1", Epoch: 3}, nil
	case "early":
		return OwnerAnswer{}, errors.New("no bundle yet")
	default:
		return OwnerAnswer{}, NewErrNotFound("keyed service")
	}
}

func (s fixedSource) Timeline() tracer.Page {
	return tracer.Page{Instance: "a", Overwritten: 4, Events: []tracer.Event{{Instance: "a", Kind: tracer.KindLogLost, Time: present}}}
}

func serve(t *testing.T, source Source) (*Client, string) {
	t.Helper()
	server := httptest.NewServer(NewHandler(source, meter.New(), func() time.Time { return present }))
	client := NewClient(callTimeout)
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client, server.Listener.Addr().String()
}

func TestReadiness(t *testing.T) {
	tests := map[string]struct {
		reason string
		want   Readiness
	}{
		"ready":     {want: Readiness{Ready: true}},
		"not ready": {reason: "no_bundle", want: Readiness{Reason: "no_bundle"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client, address := serve(t, fixedSource{reason: tc.reason})
			got, err := client.GetReadiness(t.Context(), address)
			is.NoErr(err)
			is.Equal(got, tc.want)
		})
	}
}

func TestStatusAndTimelineArriveWhole(t *testing.T) {
	is := is.New(t)
	client, address := serve(t, fixedSource{})
	status, err := client.GetStatus(t.Context(), address)
	is.NoErr(err)
	is.Equal(status, fixedSource{}.Status(present))
	page, err := client.GetTimeline(t.Context(), address)
	is.NoErr(err)
	is.Equal(page, fixedSource{}.Timeline())
}

func TestOwner(t *testing.T) {
	tests := map[string]struct {
		service  identifier.ServiceName
		key      string
		missing  bool
		failed   bool
		wantEcho string
	}{
		"found":         {service: "desk", key: "a/b c%2F&key=x", wantEcho: "a/b c%2F&key=x"},
		"empty key":     {service: "desk"},
		"no such":       {service: "nonsense", missing: true, failed: true},
		"not yet known": {service: "early", failed: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client, address := serve(t, fixedSource{})
			got, err := client.GetOwner(t.Context(), address, tc.service, tc.key)
			is.Equal(err != nil, tc.failed)
			is.Equal(IsErrNotFound(err), tc.missing)
			is.Equal(got.Key, tc.wantEcho)
		})
	}
}

func TestHandlerRefusesWhatItDoesNotServe(t *testing.T) {
	tests := map[string]struct {
		method, path string
		want         int
	}{
		"no such path":  {http.MethodGet, "/nonsense", http.StatusNotFound},
		"wrong method":  {http.MethodPost, pathStatus, http.StatusMethodNotAllowed},
		"missing key":   {http.MethodGet, pathOwner + "?service=desk", http.StatusBadRequest},
		"metrics as is": {http.MethodGet, pathMetrics, http.StatusOK},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			recorder := httptest.NewRecorder()
			handler := NewHandler(fixedSource{}, meter.New(), func() time.Time { return present })
			handler.ServeHTTP(recorder, httptest.NewRequest(tc.method, tc.path, nil))
			is.Equal(recorder.Code, tc.want)
		})
	}
}
