package throttler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestColdLimitsAddUpToRule guards against two dispatchers and some substitutes that together exceed the rule, and against
// dispatchers that leave most of the tolerated rate unused.
func TestColdLimitsAddUpToRule(t *testing.T) {
	for name, test := range map[string]struct {
		rule ColdRule
		rate float64
		want ColdLimit // of a dispatcher, its rate rounded down
		sub  int       // requests of one substitute within a second
	}{
		"deployment A":   {rule: ColdRule{Overage: 1.5, Tolerance: 8}, rate: 5.1, want: ColdLimit{Rate: 5, Most: 6}, sub: 1},
		"no tolerance":   {rule: ColdRule{Overage: 1.5}, rate: 40, want: ColdLimit{Rate: 20, Most: 24}, sub: 1},
		"no rule":        {rate: 10, want: ColdLimit{Rate: 3, Most: 4}, sub: 1},
		"one in all":     {rate: 1, want: ColdLimit{}},
		"nothing at all": {},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := test.rule.Dispatcher(test.rate)
			is.Equal(ColdLimit{Rate: float64(int(got.Rate)), Most: got.Most}, test.want)
			substitute := test.rule.Substitute(test.rate)
			is.Equal(substitute.Most, test.sub)
			is.True(float64(2*got.Most+substitute.Most) <= max(1, test.rule.Overage)*test.rate+test.rule.Tolerance)
			for _, limit := range []ColdLimit{got, substitute} {
				if limit.Most > 0 {
					is.True(mostFromBucket(limit.Rate) <= limit.Most)
				}
			}
		})
	}
}

// mostFromBucket returns the most requests in a second from a bucket that is checked all the time after it was full.
func mostFromBucket(rate float64) int {
	b := NewBucket(ColdBurstWindow)
	b.SetRate(start, rate)
	var sent []time.Time
	most := 0
	for now := start.Add(time.Minute); now.Before(start.Add(62 * time.Second)); now = now.Add(time.Millisecond) {
		for b.Allows(now) {
			b.Take(now)
			sent = append(sent, now)
		}
		for len(sent) > 0 && now.Sub(sent[0]) >= coldPeriod+coldTransit {
			sent = sent[1:]
		}
		most = max(most, len(sent))
	}
	return most
}

// TestWindow guards against requests that delays on their way bring together within a second.
func TestWindow(t *testing.T) {
	is := is.New(t)
	var w Window
	is.True(w.Delay(start, 0) > 0)
	for range 3 {
		is.Equal(w.Delay(start, 3), time.Duration(0))
		w.Add(start)
	}
	later := start.Add(400 * time.Millisecond)
	is.Equal(w.Delay(later, 3), 700*time.Millisecond)
	is.Equal(w.Delay(start.Add(coldPeriod+coldTransit), 3), time.Duration(0))
	is.True(w.Empty(start.Add(coldPeriod + coldTransit)))
}

// TestContact guards against an instance that relies on being a dispatcher before it has heard of a leader since its start or its
// latest suspension.
func TestContact(t *testing.T) {
	is := is.New(t)
	var c Contact
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	is.True(c.Step(at(0), 0))
	is.True(!c.Certain()) // the contact was not after the start
	is.True(c.Step(at(50), 10*time.Millisecond))
	is.True(c.Certain())
	is.True(!c.Step(at(100), 60*time.Millisecond))
	is.True(c.Resume(at(900)))
	is.True(!c.Certain())
	is.True(!c.Resume(at(950)))
	is.True(!c.Step(at(960), 920*time.Millisecond))
	is.True(!c.Certain())
	is.True(c.Step(at(1000), 20*time.Millisecond))
	is.True(c.Certain())
	for ms := 1050; ms <= 3050; ms += 50 {
		c.Step(at(ms), time.Duration(ms-980)*time.Millisecond)
	}
	is.True(!c.Certain()) // no contact for more than 2 s
}

// TestWarmups guards against cold servers that count as warm, and against statements whose effect does not end.
func TestWarmups(t *testing.T) {
	const warmup = 10 * time.Second
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	old := Registration{Server: "s", Incarnation: 1, Started: at(-60), ReadAt: at(0), WarmupTime: warmup}
	with := func(change func(*Registration)) Registration {
		r := old
		change(&r)
		return r
	}
	for name, test := range map[string]struct {
		registration Registration
		then         func(*Warmups)
		invalid      bool
		want         time.Time
	}{
		"warm": {registration: old},
		"says 3 s": {
			registration: with(func(r *Registration) { r.Left = 3 * time.Second }), want: at(4),
		},
		"says a year": {
			registration: with(func(r *Registration) { r.Left = 8760 * time.Hour }), invalid: true, want: at(11),
		},
		"says nothing, old": {
			registration: with(func(r *Registration) { r.Unknown = true }), invalid: true,
		},
		"says nothing, young": {
			registration: with(func(r *Registration) { r.Unknown, r.Started = true, at(-4) }), invalid: true, want: at(7),
		},
		"young, and says that it is warm": {
			registration: with(func(r *Registration) { r.Started = at(-4) }), want: at(7),
		},
		"started in the future": {
			registration: with(func(r *Registration) { r.Started = at(9000) }), want: at(11),
		},
		"young, and answers that it is warm": {
			registration: with(func(r *Registration) { r.Started = at(-4) }),
			then:         func(w *Warmups) { w.Answered(at(0.2), at(0.1), "s", 1, 0) },
		},
		"answers a question from before the failure": {
			registration: old,
			then: func(w *Warmups) {
				w.Suspect(at(1), "s")
				w.Answered(at(1.2), at(0.9), "s", 1, 0)
			},
			want: at(12),
		},
		"fails, and answers that it is warm": {
			registration: old,
			then: func(w *Warmups) {
				w.Suspect(at(1), "s")
				w.Answered(at(1.2), at(1.1), "s", 1, 0)
			},
		},
		"answers 2 s, which its registration does not take back": {
			registration: old,
			then: func(w *Warmups) {
				w.Answered(at(1), at(1), "s", 1, 2*time.Second)
				w.Register(at(1.5), with(func(r *Registration) { r.ReadAt = at(1.5) }))
			},
			want: at(4),
		},
		"another incarnation answers": {
			registration: old,
			then:         func(w *Warmups) { w.Answered(at(1), at(1), "s", 2, 2*time.Second) },
		},
		"disappears and comes back": {
			registration: old,
			then: func(w *Warmups) {
				w.Retain(at(1), func(string) bool { return false })
				w.Register(at(2), old)
			},
			want: at(13),
		},
		"the same registration again": {
			registration: with(func(r *Registration) { r.Left = 3 * time.Second }),
			then: func(w *Warmups) {
				w.Register(at(2), with(func(r *Registration) { r.Left = 3 * time.Second }))
			},
			want: at(4),
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var w Warmups
			is.Equal(w.Register(at(0), test.registration), test.invalid)
			if test.then != nil {
				test.then(&w)
			}
			is.Equal(w.ColdUntil("s", 1), test.want)
			is.Equal(w.ColdUntil("s", 2), time.Time{})
		})
	}
}

// TestRequestsAfterSilenceAreDoubted guards against a burst of requests to a server that has started again between two requests,
// and against questions to servers that get few requests.
func TestRequestsAfterSilenceAreDoubted(t *testing.T) {
	for name, test := range map[string]struct {
		interval time.Duration
		answered bool // when it is asked
		asked    bool
		sent     int // of 10
	}{
		"burst":              {interval: 20 * time.Millisecond, asked: true, sent: maxDoubted},
		"burst, it answers":  {interval: 20 * time.Millisecond, answered: true, asked: true, sent: 10},
		"one request a time": {interval: 3 * time.Second, sent: 10},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var w Warmups
			w.Register(start, Registration{Server: "s", Incarnation: 1, Started: start.Add(-time.Hour), WarmupTime: 9 * time.Second})
			now, asked, sent := start.Add(time.Minute), false, 0
			for range 10 {
				if !w.Sending(now, "s", 6) {
					sent++
				}
				if w.Ask(now, "s") {
					asked = true
					if test.answered {
						w.Answered(now, now, "s", 1, 0)
					}
				}
				now = now.Add(test.interval)
			}
			is.Equal(asked, test.asked)
			is.Equal(sent, test.sent)
		})
	}
}

// TestAnswerEndsDoubtOfHeldRequests guards against a server that gets no requests although it has answered that it is warm, at an
// instance that may send it none while it is cold. Each look at the held request would begin a new doubt after the question.
func TestAnswerEndsDoubtOfHeldRequests(t *testing.T) {
	for name, most := range map[string]int{"none while cold": 0, "one while cold": 1, "several while cold": 6} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var w Warmups
			w.Register(start, Registration{Server: "s", Incarnation: 1, Started: start.Add(-time.Hour), WarmupTime: 9 * time.Second})
			const interval, answerDelay = 10 * time.Millisecond, 30 * time.Millisecond
			sent := 0
			var asked time.Time
			for now := start.Add(time.Minute); now.Before(start.Add(time.Minute + answerTime)); now = now.Add(interval) {
				if !asked.IsZero() && now.Sub(asked) == answerDelay {
					is.True(w.Answered(now, asked, "s", 1, 0))
				}
				if !w.Sending(now, "s", most) {
					sent++
				}
				if w.Ask(now, "s") {
					asked = now
				}
			}
			is.True(!asked.IsZero())
			is.True(sent > 20)
		})
	}
}

// TestAssumedWarmupIgnoresClockSteps guards against a server that counts as cold for hours because the system's clock was set back after
// its registration, whose time of start is one of the system's clocks.
func TestAssumedWarmupIgnoresClockSteps(t *testing.T) {
	is := is.New(t)
	var w Warmups
	now := time.Now()
	started := now.Add(-time.Second).Round(0) // without a monotonic reading, as one from a registration
	w.Register(now, Registration{Server: "s", Incarnation: 1, Started: started, WarmupTime: 9 * time.Second})
	until := w.ColdUntil("s", 1)
	is.True(until.After(now))
	is.True(until != until.Round(0)) // it has a monotonic reading, so that it is compared with that of time.Now
}
