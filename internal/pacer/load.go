package pacer

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxLoadLength bounds the text of a Load, so that a long header is not parsed or kept.
	maxLoadLength = 64
	// maxRequests bounds each number of requests or slots in a Load.
	maxRequests = 1_000_000
	// minPace and maxPace bound the pace in percent. Work that takes a hundredth or a hundred times as long as usual is taken for
	// an error of the server.
	minPace, maxPace = 1, 10_000
	// loadTime is the time constant with which a Load loses weight. It is the time of a few requests: a report of a full server
	// says nothing about its slots a second later.
	loadTime = 500 * time.Millisecond
	// leastPaceRatio and greatestPaceRatio bound the effect of a pace, so that a false one can't attract all requests or keep all
	// away.
	leastPaceRatio, greatestPaceRatio = 0.5, 4
)

// Load is what a server says about its load in an answer. The zero Load says nothing.
type Load struct {
	Running, Waiting, Slots int
	Pace                    float64 // how long work takes, 1 as usual; 0 if it is not said
}

// ParseLoad parses RUNNING,WAITING,SLOTS[,PACE], with PACE in percent.
func ParseLoad(text string) (Load, error) {
	if len(text) > maxLoadLength {
		return Load{}, errors.Errorf("load of %d bytes", len(text))
	}
	fields := strings.Split(text, ",")
	if len(fields) != 3 && len(fields) != 4 {
		return Load{}, errors.Errorf("load has %d numbers", len(fields))
	}
	var counts [3]int
	for i := range counts {
		n, err := strconv.Atoi(strings.TrimSpace(fields[i]))
		if err != nil {
			return Load{}, errors.Wrap(err, "load")
		}
		if n < 0 || n > maxRequests {
			return Load{}, errors.Errorf("load has the number %d", n)
		}
		counts[i] = n
	}
	load := Load{Running: counts[0], Waiting: counts[1], Slots: counts[2]}
	if load.Slots == 0 {
		return Load{}, errors.New("load has no slots")
	}
	if len(fields) == 4 {
		pace, err := strconv.ParseFloat(strings.TrimSpace(fields[3]), 64)
		if err != nil {
			return Load{}, errors.Wrap(err, "pace")
		}
		if !(pace >= minPace && pace <= maxPace) { // also if it is not a number
			return Load{}, errors.Errorf("pace %v", pace)
		}
		load.Pace = pace / 100
	}
	return load, nil
}

// report is the latest Load of a server.
type report struct {
	others float64 // requests there that this instance did not send
	ratio  float64 // of service times, from the pace; 0 if none was named
	at     time.Time
}

// Report records what the server said in an answer, while a number of requests of this instance ran there, the answered one
// included. It counts beside measured service times and loses its weight within a second.
func (p *Pacer) Report(now time.Time, load Load, running int) {
	others := min(max(0, load.Running+load.Waiting-running), p.slots)
	p.report = report{others: float64(others), at: now}
	if load.Pace > 0 {
		p.report.ratio = min(max(load.Pace, leastPaceRatio), greatestPaceRatio)
	}
}

// Others returns how many requests of other instances are likely to be at the server.
func (p *Pacer) Others(now time.Time) float64 { return p.report.others * p.report.weightAt(now) }

// weightAt returns the weight that the report has at a given time, 1 when it arrives.
func (r *report) weightAt(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return math.Exp(-max(0, now.Sub(r.at).Seconds()) / loadTime.Seconds())
}

// expected returns the ratio of service times that the report suggests at a given time; without one, 1.
func (r *report) expected(now time.Time) float64 {
	if r.ratio == 0 {
		return 1
	}
	return 1 + (r.ratio-1)*r.weightAt(now)
}
