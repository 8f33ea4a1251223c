package detector

import (
	"math"
	"strings"
	"time"
)

// counter is the decayed weight of one key. It is too high by at most excess.
type counter struct {
	key    string
	weight float64
	excess float64
	state  heat
}

// sketch is a space-saving summary whose weights decay with a half-life. Its counters are scaled to a landmark time,
// so that decay costs nothing until the scale grows large.
type sketch struct {
	limit    int
	halfLife time.Duration
	landmark time.Time
	index    map[string]int
	counters []counter
}

// The scale is folded into the counters when it passes this many halvings.
const maxHalvings = 32

func newSketch(limit int, halfLife time.Duration) *sketch {
	return &sketch{
		limit:    limit,
		halfLife: halfLife,
		index:    make(map[string]int, limit),
		counters: make([]counter, 0, limit),
	}
}

// scale returns the factor between a weight at now and one at the landmark.
func (s *sketch) scale(now time.Time) float64 {
	if s.landmark.IsZero() {
		s.landmark = now
	}
	halvings := now.Sub(s.landmark).Seconds() / s.halfLife.Seconds()
	if halvings <= maxHalvings {
		return math.Exp2(max(halvings, 0))
	}
	factor := math.Exp2(-halvings)
	for i := range s.counters {
		s.counters[i].weight *= factor
		s.counters[i].excess *= factor
	}
	s.landmark = now
	return 1
}

// add counts weight for key. A key that is not tracked takes the place of the lightest that is not hot.
func (s *sketch) add(key string, weight float64, now time.Time) {
	weight *= s.scale(now)
	if i, ok := s.index[key]; ok {
		s.counters[i].weight += weight
		return
	}
	key = strings.Clone(key)
	if len(s.counters) < s.limit {
		s.index[key] = len(s.counters)
		s.counters = append(s.counters, counter{key: key, weight: weight})
		return
	}
	i := s.lightest()
	if i < 0 {
		return
	}
	old := s.counters[i]
	delete(s.index, old.key)
	s.index[key] = i
	s.counters[i] = counter{key: key, weight: old.weight + weight, excess: old.weight}
}

// lightest returns the lightest counter that is not hot, -1 when all are hot.
func (s *sketch) lightest() int {
	found := -1
	for i := range s.counters {
		if s.counters[i].state.hot {
			continue
		}
		if found < 0 || s.counters[i].weight < s.counters[found].weight {
			found = i
		}
	}
	return found
}

// rate returns the certain weight a second of counter i at now.
func (s *sketch) rate(i int, now time.Time) float64 {
	c := s.counters[i]
	return (c.weight - c.excess) / s.scale(now) * math.Ln2 / s.halfLife.Seconds()
}
