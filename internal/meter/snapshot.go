package meter

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// timerPercentiles are the percentiles of each timer in a Snapshot, as fractions of 1.
var timerPercentiles = [...]float64{0.5, 0.99}

// Sample is one named value of a Snapshot.
type Sample struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Snapshot is a snapshot of all values of a Meter, in a fixed order.
type Snapshot struct {
	Samples []Sample `json:"samples"`
}

// GetValueByName returns the value of the sample with that name, and false if there is none.
func (s Snapshot) GetValueByName(name string) (float64, bool) {
	for _, sample := range s.Samples {
		if sample.Name == name {
			return sample.Value, true
		}
	}
	return 0, false
}

// WriteText writes one line "name value" for each sample.
func (s Snapshot) WriteText(w io.Writer) error {
	for _, sample := range s.Samples {
		if _, err := fmt.Fprintf(w, "%s %s\n", sample.Name, strconv.FormatFloat(sample.Value, 'f', -1, 64)); err != nil {
			return err
		}
	}
	return nil
}

// Snapshot returns a snapshot of all values. Counters and gauges are always listed, refusals only if their count is above 0.
func (m *Meter) Snapshot() Snapshot {
	var snapshot Snapshot
	for i := range m.counters {
		snapshot.add(Counter(i).String(), float64(m.counters[i].Count()))
	}
	for i := range m.gauges {
		snapshot.add(Gauge(i).String(), float64(m.gauges[i].Value()))
	}
	for i := range m.refusals {
		snapshot.addNonZero("refusals_"+refusalReasons[i], m.refusals[i].Count())
	}
	m.addRequestDurations(&snapshot)
	for i := range m.timers {
		m.addTimer(&snapshot, Timer(i))
	}
	return snapshot
}

func (s *Snapshot) add(name string, value float64) {
	s.Samples = append(s.Samples, Sample{Name: name, Value: value})
}

func (s *Snapshot) addNonZero(name string, count int64) {
	if count > 0 {
		s.add(name, float64(count))
	}
}

// addRequestDurations adds the durations of requests as cumulative counts by upper bound, and their total count.
func (m *Meter) addRequestDurations(snapshot *Snapshot) {
	var cumulative int64
	for i, bound := range requestBucketBounds {
		cumulative += m.requestDurations[i].Count()
		snapshot.add("request_time_le_"+bound.String(), float64(cumulative))
	}
	cumulative += m.requestDurations[bucketCount-1].Count()
	snapshot.add("request_time_count", float64(cumulative))
}

// addTimer adds the count of a timer, and its percentiles and maximum in milliseconds if the count is above 0.
func (m *Meter) addTimer(snapshot *Snapshot, t Timer) {
	durations := m.histogram(t).Snapshot()
	snapshot.add(t.String()+"_count", float64(durations.Count()))
	if durations.Count() == 0 {
		return
	}
	for i, value := range durations.Percentiles(timerPercentiles[:]) {
		name := fmt.Sprintf("%s_p%g_ms", t, timerPercentiles[i]*100)
		snapshot.add(name, value/float64(time.Millisecond))
	}
	snapshot.add(t.String()+"_max_ms", float64(durations.Max())/float64(time.Millisecond))
}

// ServeHTTP answers with a Snapshot as text, or as JSON if the request accepts application/json.
func (m *Meter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	snapshot := m.Snapshot()
	if strings.Contains(r.Header.Get("Accept"), "application/json") {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(snapshot)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_ = snapshot.WriteText(w)
}
