package lister_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/faker"
	"github.com/wasabibank/wasabibank/internal/lister"
)

func TestList(t *testing.T) {
	first := []lister.Instance{{Name: "a", Address: "10.0.0.1:7000", State: lister.StateLive}}
	second := []lister.Instance{
		{Name: "a", Address: "10.0.0.1:7000", State: lister.StateLeaving},
		{Name: "b", Address: "10.0.0.2:7000", State: lister.StateLive},
	}
	tests := map[string]struct {
		lag    time.Duration
		faults faker.RosterFaults
		after  time.Duration
		want   []lister.Instance
	}{
		"present":        {after: time.Second, want: second},
		"lagging":        {lag: 5 * time.Second, after: 4 * time.Second, want: first},
		"lag gone by":    {lag: 5 * time.Second, after: 6 * time.Second, want: second},
		"lag by a fault": {faults: faker.RosterFaults{Lag: 5000}, after: time.Second, want: first},
		"hidden":         {faults: faker.RosterFaults{Hidden: []string{"a"}}, after: time.Second, want: second[1:]},
		"frozen":         {faults: faker.RosterFaults{Frozen: true}, after: time.Hour, want: first},
		"older than all": {lag: time.Hour, after: time.Second, want: []lister.Instance{}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			roster := faker.NewRoster(faker.RosterSettings{Lag: tc.lag, Clock: faker.Clock{Now: func() time.Time { return now }}})
			server := httptest.NewServer(roster)
			defer server.Close()
			client := lister.NewClient(strings.TrimPrefix(server.URL, "http://"))
			defer client.Close()
			roster.SetInstances(first)
			now = now.Add(10 * time.Second)
			roster.SetFaults(tc.faults)
			now = now.Add(time.Second)
			roster.SetInstances(second)
			now = now.Add(tc.after)
			got, err := client.List(context.Background())
			is.NoErr(err)
			is.Equal(got, tc.want)
			roster.SetFaults(faker.RosterFaults{Outage: true})
			_, err = client.List(context.Background())
			is.True(lister.IsErrUnavailable(err))
		})
	}
}
