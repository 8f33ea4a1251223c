package emulator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestAdminChangesOnlyFaultsInBody(t *testing.T) {
	tests := map[string]struct {
		body   string
		status int
		want   ServerFaults
	}{
		"one fault":     {body: `{"shed":true}`, status: 200, want: ServerFaults{Shed: true, SlowFactor: 2}},
		"unknown fault": {body: `{"shedd":true}`, status: 400, want: ServerFaults{SlowFactor: 2}},
		"not JSON":      {body: `shed`, status: 400, want: ServerFaults{SlowFactor: 2}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := NewServer(ServerSettings{}, time.UnixMilli(1))
			server.SetFaults(ServerFaults{SlowFactor: 2})
			recorder := httptest.NewRecorder()
			server.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/admin/faults", strings.NewReader(tc.body)))
			is.Equal(recorder.Code, tc.status)
			is.Equal(server.faults.get(), tc.want)
		})
	}
}
