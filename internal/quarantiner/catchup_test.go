package quarantiner

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCatchup guards against an instance that has just started, or was suspended, and sends a request that crashes servers although
// others know of three crashes, and against one that holds back suspects for longer than others may know more.
func TestCatchup(t *testing.T) {
	type period struct{ from, to int }
	always := []period{{0, 10_000}}
	suspended := []period{{0, 1000}, {5000, 10_000}}
	tests := map[string]struct {
		starts   bool
		runs     []period     // in which it takes a step each 50 ms; all times are in ms after the start
		contacts []int        // when a leader told it what it lacks
		leads    int          // from when on it leads; 0 means never
		want     map[int]bool // whether crashes may be unknown to it, by time
	}{
		"zero value":                {want: map[int]bool{0: false, 5000: false}},
		"never started":             {runs: always, want: map[int]bool{0: false, 5000: false}},
		"no leader":                 {starts: true, runs: always, want: map[int]bool{0: true, 3999: true, 4000: false, 4100: false}},
		"leader answers":            {starts: true, runs: always, contacts: []int{310}, want: map[int]bool{349: true, 350: false, 9000: false}},
		"becomes the leader":        {starts: true, runs: always, leads: 300, want: map[int]bool{1299: true, 1300: false, 9000: false}},
		"leads late":                {starts: true, runs: always, leads: 3900, want: map[int]bool{3999: true, 4000: false}},
		"suspended":                 {runs: suspended, contacts: []int{900}, want: map[int]bool{1550: false, 1551: true, 5000: true, 8999: true, 9000: false}},
		"suspended, leader answers": {runs: suspended, contacts: []int{900, 5060}, want: map[int]bool{5000: true, 5100: false}},
		"suspended leader":          {runs: suspended, leads: 100, want: map[int]bool{5000: true, 5999: true, 6000: false}},
	}
	for name, test := range tests {
		for when, want := range test.want {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				var c Catchup
				if test.starts {
					c.Begin(start)
				}
				for ms := 50; ms <= when; ms += 50 {
					silence, leading := time.Hour, 0
					for _, contact := range test.contacts {
						if contact <= ms {
							silence = at(ms).Sub(at(contact))
						}
					}
					if test.leads > 0 {
						leading = max(0, ms-test.leads)
					}
					for _, p := range test.runs {
						if ms >= p.from && ms < p.to {
							c.Step(at(ms), silence, time.Duration(leading)*time.Millisecond)
						}
					}
				}
				is.Equal(c.Active(at(when)), want)
			})
		}
	}
}
