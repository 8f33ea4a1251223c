package admitter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAdmit guards against a request that comes late in a shutdown and is cut when the instance ends, and against refusing those
// that can be answered.
func TestAdmit(t *testing.T) {
	start := time.Unix(1000, 0)
	const lastAnswer = 5300 * time.Millisecond
	tests := map[string]struct {
		shutdown      Shutdown
		now, deadline time.Duration // after the shutdown was requested
		want          time.Duration // 0 if refused
	}{
		"no shutdown":                         {now: 0, deadline: time.Minute, want: time.Minute},
		"at once, ends in time":               {shutdown: New(start, start.Add(lastAnswer)), deadline: 5 * time.Second, want: 5 * time.Second},
		"at once, may outlast the grace":      {shutdown: New(start, start.Add(lastAnswer)), deadline: 8 * time.Second, want: lastAnswer},
		"just before late":                    {shutdown: New(start, start.Add(lastAnswer)), now: lateAfter - 1, deadline: 8 * time.Second, want: lastAnswer},
		"late, may outlast the grace":         {shutdown: New(start, start.Add(lastAnswer)), now: lateAfter, deadline: lastAnswer + 1},
		"late, ends in time":                  {shutdown: New(start, start.Add(lastAnswer)), now: lateAfter, deadline: lastAnswer, want: lastAnswer},
		"very late, ends in time":             {shutdown: New(start, start.Add(lastAnswer)), now: 5 * time.Second, deadline: 5200 * time.Millisecond, want: 5200 * time.Millisecond},
		"after the last answer":               {shutdown: New(start, start.Add(lastAnswer)), now: 5400 * time.Millisecond, deadline: 6 * time.Second},
		"grace period shorter than lateAfter": {shutdown: New(start, start.Add(time.Second)), now: time.Second, deadline: 2 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			limited, ok := test.shutdown.Admit(start.Add(test.now), start.Add(test.deadline))
			is.Equal(ok, test.want != 0)
			if ok {
				is.Equal(limited.Sub(start), test.want)
			}
		})
	}
}

// TestAdmitHop guards against a request of another instance that is cut when its dispatcher ends, and against handing back those that
// can be answered.
func TestAdmitHop(t *testing.T) {
	start := time.Unix(1000, 0)
	const lastAnswer = 5300 * time.Millisecond
	stopping := New(start, start.Add(lastAnswer))
	tests := map[string]struct {
		shutdown      Shutdown
		now, deadline time.Duration // after the shutdown was requested
		want          bool
	}{
		"no shutdown":                   {deadline: time.Minute, want: true},
		"at once, ends in time":         {shutdown: stopping, deadline: lastAnswer, want: true},
		"at once, may outlast it":       {shutdown: stopping, deadline: lastAnswer + 1},
		"late, ends in time":            {shutdown: stopping, now: 5 * time.Second, deadline: lastAnswer, want: true},
		"late, may outlast it":          {shutdown: stopping, now: 5 * time.Second, deadline: 8 * time.Second},
		"after the last answer":         {shutdown: stopping, now: lastAnswer, deadline: 8 * time.Second},
		"overdue after the last answer": {shutdown: stopping, now: lastAnswer, deadline: lastAnswer - 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(test.shutdown.AdmitHop(start.Add(test.now), start.Add(test.deadline)), test.want)
		})
	}
}

// TestLimit guards against a request that is sent with more time than its instance has, or with less time than its own.
func TestLimit(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		shutdown       Shutdown
		deadline, want time.Duration // after the shutdown was requested
	}{
		"no shutdown":              {deadline: time.Minute, want: time.Minute},
		"ends in time":             {shutdown: New(start, start.Add(5*time.Second)), deadline: time.Second, want: time.Second},
		"may outlast the instance": {shutdown: New(start, start.Add(5*time.Second)), deadline: 8 * time.Second, want: 5 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(test.shutdown.Limit(start.Add(test.deadline)).Sub(start), test.want)
		})
	}
}
