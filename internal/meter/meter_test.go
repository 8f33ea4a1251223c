package meter

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestNamesAreUniqueSnakeCaseWithHelp(t *testing.T) {
	is := is.New(t)
	snakeCase := regexp.MustCompile(`^[a-z]+(_[a-z]+)*$`)
	seen := map[string]bool{}
	for _, d := range Descriptions() {
		is.True(snakeCase.MatchString(d.Name))
		is.True(strings.HasSuffix(d.Help, "."))
		is.True(!seen[d.Name])
		seen[d.Name] = true
	}
}

func TestSnapshotHasRecordedValues(t *testing.T) {
	tests := map[string]struct {
		record func(*Meter)
		name   string
		want   float64
	}{
		"counter":                  {func(m *Meter) { m.Count(RequestsAnswered) }, "requests_answered", 1},
		"counter plus n":           {func(m *Meter) { m.Add(GrantsSent, 7) }, "grants_sent", 7},
		"gauge":                    {func(m *Meter) { m.Set(Members, 42) }, "members", 42},
		"refusal":                  {func(m *Meter) { m.CountRefusal("keys_moved") }, "refusals_keys_moved", 1},
		"unlisted refusal":         {func(m *Meter) { m.CountRefusal("nonsense") }, "refusals_other", 1},
		"duration in a bucket":     {func(m *Meter) { m.ObserveRequest(3 * time.Millisecond) }, "request_time_le_5ms", 1},
		"duration over all bounds": {func(m *Meter) { m.ObserveRequest(time.Hour) }, "request_time_count", 1},
		"timer":                    {func(m *Meter) { m.Observe(AppendTime, 3*time.Millisecond) }, "append_time_max_ms", 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var m Meter
			tc.record(&m)
			got, ok := m.Snapshot().GetValueByName(tc.name)
			is.True(ok)
			is.Equal(got, tc.want)
		})
	}
}

func TestServeHTTPWritesTextOrJSON(t *testing.T) {
	is := is.New(t)
	m := New()
	m.Add(Appends, 3)
	text := httptest.NewRecorder()
	m.ServeHTTP(text, httptest.NewRequest("GET", "/metrics", nil))
	is.True(bytes.Contains(text.Body.Bytes(), []byte("\nappends 3\n")))

	request := httptest.NewRequest("GET", "/metrics", nil)
	request.Header.Set("Accept", "application/json")
	answer := httptest.NewRecorder()
	m.ServeHTTP(answer, request)
	var snapshot Snapshot
	is.NoErr(json.Unmarshal(answer.Body.Bytes(), &snapshot))
	is.Equal(snapshot, m.Snapshot())
}

func TestConcurrentCountsAreNotLost(t *testing.T) {
	is := is.New(t)
	m := New()
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 100 {
				m.Count(RequestsReceived)
				m.CountRefusal("keys_moved")
				m.Observe(GrantTime, time.Millisecond)
				m.Snapshot()
			}
		})
	}
	group.Wait()
	is.Equal(m.Get(RequestsReceived), int64(800))
	is.Equal(m.GetRefusalCount("keys_moved"), int64(800))
}

func BenchmarkCount(b *testing.B) {
	m := New()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			m.Count(RequestsAnswered)
			m.CountRefusal("keys_moved")
			m.ObserveRequest(3 * time.Millisecond)
		}
	})
}
