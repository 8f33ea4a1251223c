package emulator

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/wasabibank/wasabibank/platform"
)

// arrivalWindow is the time over which the requests of a cold server are compared with what it tolerates.
const arrivalWindow = time.Second

// arrivals counts requests in sliding windows. The zero value has none.
type arrivals struct {
	recent []time.Time // within arrivalWindow before the latest one
	most   int         // the largest number of requests within any arrivalWindow
}

// add counts a request that arrived at now, and returns how many arrived within arrivalWindow up to then.
func (a *arrivals) add(now time.Time) int {
	a.recent = append(slices.DeleteFunc(a.recent, func(t time.Time) bool { return now.Sub(t) >= arrivalWindow }), now)
	a.most = max(a.most, len(a.recent))
	return len(a.recent)
}

// setWarmup applies the fault WarmupMS when it changes: the server is cold from now on for that time.
func (s *Server) setWarmup(now time.Time, f ServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.WarmupMS == s.warmupFault {
		return
	}
	s.warmupFault, s.coldUntil = f.WarmupMS, now.Add(time.Duration(f.WarmupMS)*time.Millisecond)
}

// warmupLeft returns how long the server stays cold. The caller holds mu.
func (s *Server) warmupLeft(now time.Time) time.Duration { return max(0, s.coldUntil.Sub(now)) }

// countArrival counts a request that arrives while the server is cold, unless the server doesn't own its key and rejects it.
// A request counts whether or not its body arrives.
func (s *Server) countArrival(now time.Time, j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.warmupLeft(now) == 0 {
		return
	}
	if j.keyed {
		if _, ok := s.leases.find(now, j.key); !ok {
			return
		}
	}
	count := s.coldArrivals.add(now)
	s.counts.MostCold = s.coldArrivals.most
	if limit := s.settings.WarmupLimit; limit > 0 && count > limit {
		s.counts.OverWarmupLimit++
	}
}

// setWarmupHeader names the time for which the server stays cold, in the answer to a health check.
func (s *Server) setWarmupHeader(now time.Time, header http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	header.Set(platform.HeaderWarmup, strconv.FormatInt(s.warmupLeft(now).Milliseconds(), 10))
}

// setLoadHeader names the load of the server if the settings or the fault Load ask for that.
func (s *Server) setLoadHeader(header http.Header) {
	faults := s.faults.get()
	if faults.Load != "" {
		header.Set(platform.HeaderLoad, faults.Load)
		return
	}
	if !s.settings.NamesLoad {
		return
	}
	pace := 100.0
	if faults.SlowFactor > 0 {
		pace *= faults.SlowFactor
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	header.Set(platform.HeaderLoad, fmt.Sprintf("%d,%d,%d,%.0f", len(s.running), s.waiting, s.settings.Slots, pace))
}
