package admitter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPlanFollowsGracePeriod guards against an instance that is killed before it has ended its waits, and against changes of the times that
// deployments with usual grace periods rely on.
func TestPlanFollowsGracePeriod(t *testing.T) {
	tests := map[string]struct {
		grace, closeIdle, stopAccepting, lastAnswer, exit, lastByte, logWritten int // ms
	}{
		"2 s": {grace: 2000, closeIdle: 1360, stopAccepting: 1360, lastAnswer: 1700, exit: 1786, lastByte: 1914, logWritten: 1957},
		"3 s, covers the deregistration by the platform": {
			grace: 3000, closeIdle: 2040, stopAccepting: 2040, lastAnswer: 2550, exit: 2679, lastByte: 2871, logWritten: 2936,
		},
		"4 s":  {grace: 4000, closeIdle: 2200, stopAccepting: 2720, lastAnswer: 3400, exit: 3571, lastByte: 3829, logWritten: 3914},
		"6 s":  {grace: 6000, closeIdle: 2200, stopAccepting: 3200, lastAnswer: 5300, exit: 5500, lastByte: 5800, logWritten: 5900},
		"10 s": {grace: 10000, closeIdle: 2200, stopAccepting: 3200, lastAnswer: 9300, exit: 9500, lastByte: 9800, logWritten: 9900},
		"30 s": {grace: 30000, closeIdle: 2200, stopAccepting: 3200, lastAnswer: 29300, exit: 29500, lastByte: 29800, logWritten: 29900},
		"none": {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(1000, 0)
			p := NewPlan(start, time.Duration(test.grace)*time.Millisecond)
			ms := func(at time.Time) int { return int(at.Sub(start).Milliseconds()) }
			is.Equal(ms(p.CloseIdle()), test.closeIdle)
			is.Equal(ms(p.StopAccepting()), test.stopAccepting)
			is.Equal(ms(p.LastAnswer()), test.lastAnswer)
			is.Equal(ms(p.Exit()), test.exit)
			is.Equal(ms(p.LastByte()), test.lastByte)
			is.Equal(ms(p.LogWritten()), test.logWritten)
		})
	}
}

// TestPlanEndsWaitsInLastSixth guards against waits that end so early that the platform takes them for broken off, while servers are at
// work, and against times out of order.
func TestPlanEndsWaitsInLastSixth(t *testing.T) {
	start := time.Unix(1000, 0)
	for grace := time.Second; grace <= time.Minute; grace += 100 * time.Millisecond {
		p := NewPlan(start, grace)
		if p.LastAnswer().Before(start.Add(grace - grace/6)) {
			t.Errorf("grace period %v: waits end after %v", grace, p.LastAnswer().Sub(start))
		}
		killed := start.Add(grace)
		if p.CloseIdle().After(p.StopAccepting()) || !p.StopAccepting().Before(p.LastAnswer()) || !p.LastAnswer().Before(p.Exit()) ||
			!p.Exit().Before(p.LastByte()) || !p.LastByte().Before(p.LogWritten()) || !p.LogWritten().Before(killed) {
			t.Errorf("grace period %v: the times %+v are not in order", grace, p)
		}
	}
}
