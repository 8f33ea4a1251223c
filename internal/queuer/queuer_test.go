package queuer

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// at returns the time ms milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// busyQueue returns a queue with one server, whose only slot is in use, and a mean service time of 100 ms.
func busyQueue(t *testing.T) *Queue {
	t.Helper()
	is := is.New(t)
	q := &Queue{}
	q.SetServers(start, []Server{{ID: "a", Slots: 1}})
	is.Equal(q.Offer(start, request(0, 1000, 1000)), Start{Server: "a"})
	q.Done(start, "a", "c", Answered, 100*time.Millisecond)
	is.Equal(q.Offer(start, request(0, 1000, 1000)), Start{Server: "a"})
	return q
}

// request returns a request with an objective and a deadline in ms after start.
func request(priority, objective, deadline int) Request {
	return Request{Class: "c", Priority: priority, Objective: at(objective), Deadline: at(deadline)}
}

// TestWaitingRequestsStartInOrder guards against an urgent request that waits behind others, and against late requests
// that delay those that can still meet their objectives.
func TestWaitingRequestsStartInOrder(t *testing.T) {
	tests := map[string]struct {
		waiting []Request // tickets from 1
		want    []Ticket
	}{
		"first come, first served":  {waiting: []Request{request(1, 500, 900), request(1, 500, 900)}, want: []Ticket{1, 2}},
		"higher priority first":     {waiting: []Request{request(2, 500, 900), request(1, 500, 900)}, want: []Ticket{2, 1}},
		"earlier objective first":   {waiting: []Request{request(1, 600, 900), request(1, 500, 900)}, want: []Ticket{2, 1}},
		"late requests last":        {waiting: []Request{request(1, 50, 900), request(2, 500, 900)}, want: []Ticket{2, 1}},
		"late requests by deadline": {waiting: []Request{request(1, 50, 950), request(1, 50, 900)}, want: []Ticket{2, 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := busyQueue(t)
			q.load = 0
			for i, r := range test.waiting {
				is.Equal(q.Offer(start, r), Wait{Ticket: Ticket(i + 1)})
				q.load = 0 // only the order is tested
			}
			for _, want := range test.want {
				q.load = 0
				change := q.Done(start, "a", "c", Answered, 100*time.Millisecond)
				is.Equal(change.Started, []Started{{Ticket: want, Server: "a"}})
			}
		})
	}
}

// TestInfeasibleRequestIsRefusedImmediately guards against clients that wait until their deadline for an answer that
// can't come in time.
func TestInfeasibleRequestIsRefusedImmediately(t *testing.T) {
	is := is.New(t)
	q := busyQueue(t)
	is.Equal(q.Offer(start, request(1, 1000, 1000)), Wait{Ticket: 1})
	refused, ok := q.Offer(start, request(1, 140, 140)).(Refuse) // the running request needs 50 ms more, then this one 100 ms
	is.True(ok)
	is.True(refused.RetryAfter >= minRetryAfter && refused.RetryAfter <= maxRetryAfter)
	_, ok = q.Offer(at(300), request(1, 200, 200)).(Refuse)
	is.True(ok) // its deadline has passed
	is.Equal(q.Waiting(), 1)
}

// TestRequestIsNotSentIfNoAnswerCanBeInTime guards against a request that a server executes in vain, and whose client can't
// tell whether it was executed, although the time left was known to be too short when it was sent.
func TestRequestIsNotSentIfNoAnswerCanBeInTime(t *testing.T) {
	steady := []time.Duration{20 * time.Millisecond}
	varying := slices.Repeat([]time.Duration{20 * time.Millisecond, 60 * time.Millisecond}, 20)
	tests := map[string]struct {
		measured      []time.Duration // service times of earlier requests of the class, in another queue
		after         time.Duration   // time between those answers and the request
		timeLeft      time.Duration   // of the request
		notIdempotent bool
		started       bool
	}{
		"less time than any request needs":            {timeLeft: time.Millisecond},
		"nothing measured":                            {timeLeft: 5 * time.Millisecond, started: true},
		"less time than the class needs":              {measured: steady, timeLeft: 19 * time.Millisecond},
		"as much time as the class needs":             {measured: steady, timeLeft: 20 * time.Millisecond, started: true},
		"less time, measured in the window before":    {measured: steady, after: 15 * time.Second, timeLeft: 19 * time.Millisecond},
		"less time, but the measurement is too old":   {measured: steady, after: 21 * time.Second, timeLeft: 19 * time.Millisecond, started: true},
		"answer possible, not likely, idempotent":     {measured: varying, timeLeft: 30 * time.Millisecond, started: true},
		"answer possible, not likely, not idempotent": {measured: varying, timeLeft: 30 * time.Millisecond, notIdempotent: true},
		"answer likely, not idempotent":               {measured: varying, timeLeft: 100 * time.Millisecond, notIdempotent: true, started: true},
		"not idempotent, nothing measured for a while": {
			measured: varying, after: 2 * time.Second, timeLeft: 30 * time.Millisecond, notIdempotent: true, started: true,
		},
		"not idempotent, nothing measured": {timeLeft: 30 * time.Millisecond, notIdempotent: true, started: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var times ServiceTimes
			other, q := New(&times, Settings{}), New(&times, Settings{})
			other.SetServers(start, []Server{{ID: "b", Slots: 1}})
			for _, took := range test.measured {
				is.Equal(other.Offer(start, request(0, 1000, 1000)), Start{Server: "b"})
				other.Done(start, "b", "c", Answered, took)
			}
			now := start.Add(test.after)
			r := Request{Class: "c", Objective: now, Deadline: now.Add(test.timeLeft), NotIdempotent: test.notIdempotent}
			q.SetServers(now, []Server{{ID: "a", Slots: 1}})
			_, started := q.Offer(now, r).(Start)
			is.Equal(started, test.started)
		})
	}
}

// TestWaitingRequestIsRefusedIfNoAnswerCanBeInTime guards against a waiting request that is sent, when a slot becomes free,
// with too little time left.
func TestWaitingRequestIsRefusedIfNoAnswerCanBeInTime(t *testing.T) {
	is := is.New(t)
	q := busyQueue(t)
	is.Equal(q.Offer(start, request(0, 1000, 250)), Wait{Ticket: 1})
	change := q.Done(at(200), "a", "c", Answered, 200*time.Millisecond)
	is.Equal(change.Started, nil)
	is.Equal(len(change.Refused), 1)
}

// TestHigherPriorityDisplacesLower guards against a waiting request that keeps its place although requests of higher
// priority use up the time until its deadline. Two of them are needed: behind one, it would still be answered in time.
func TestHigherPriorityDisplacesLower(t *testing.T) {
	is := is.New(t)
	q := busyQueue(t)
	is.Equal(q.Offer(start, request(2, 300, 300)), Wait{Ticket: 1})
	is.Equal(q.Offer(start, request(1, 300, 300)), Wait{Ticket: 2})
	is.Equal(q.Offer(start, request(1, 400, 400)), Wait{Ticket: 3})
	change := q.Advance(at(10))
	is.Equal(len(change.Refused), 1)
	is.Equal(change.Refused[0].Ticket, Ticket(1))
}

// TestServersRunAtMostTheirSlots guards against servers that get more concurrent requests than they can execute.
func TestServersRunAtMostTheirSlots(t *testing.T) {
	is := is.New(t)
	q := &Queue{}
	q.SetServers(start, []Server{{ID: "a", Slots: 2}, {ID: "b", Slots: 1}})
	started := map[string]int{}
	for range 10 {
		if s, ok := q.Offer(start, request(1, 5000, 5000)).(Start); ok {
			started[s.Server]++
		}
	}
	is.Equal(started, map[string]int{"a": 2, "b": 1})
}

// TestFailingServerIsEjected guards against a server that fails fast, so that it always has free slots and attracts all
// requests.
func TestFailingServerIsEjected(t *testing.T) {
	is := is.New(t)
	q := &Queue{}
	q.SetServers(start, []Server{{ID: "a", Slots: 1}, {ID: "b", Slots: 1}})
	for range failuresToEject {
		is.Equal(q.Offer(start, request(1, 900, 900)), Start{Server: "a"})
		q.Done(start, "a", "c", Failed, 0)
	}
	is.Equal(q.Offer(start, request(1, 900, 900)), Start{Server: "b"})
	q.Done(start, "b", "c", Answered, time.Millisecond)
	later := start.Add(minEjectionTime)
	r := Request{Class: "c", Objective: later.Add(time.Second), Deadline: later.Add(time.Second)}
	is.Equal(q.Offer(later, r), Start{Server: "a"}) // has no mean service time yet, so it counts as fastest
	q.Done(later, "a", "c", Failed, 0)
	is.Equal(q.Offer(later, r), Start{Server: "b"}) // one failure ejects it again, for longer
}

// TestTimeOutsEjectOnlyIfTheTimeWasEnough guards against a sound server that is ejected because requests had little time, and
// against one that hangs or is slow and is not ejected.
func TestTimeOutsEjectOnlyIfTheTimeWasEnough(t *testing.T) {
	const ms = time.Millisecond
	steady, varying := []time.Duration{700 * ms}, slices.Repeat([]time.Duration{20 * ms, 60 * ms}, 20)
	// Their mean and deviation suggest 110 ms, but no request of this class has more than 100 ms.
	bounded := slices.Repeat([]time.Duration{10 * ms, 90 * ms}, 20)
	outlier := append([]time.Duration{900 * ms}, slices.Repeat([]time.Duration{20 * ms}, 40)...)
	tests := map[string]struct {
		measured []time.Duration  // service times of earlier requests of the class, at another server
		raised   time.Duration    // service time of a later answer of the server itself
		after    time.Duration    // time between those answers and the first time-out
		given    [3]time.Duration // times of the requests that time out
		ejected  bool
	}{
		"nothing measured, hangs from the start": {given: [3]time.Duration{ms, ms, ms}, ejected: true},
		"less time than the class takes":         {measured: steady, given: [3]time.Duration{300 * ms, 699 * ms, 300 * ms}},
		"less time, after a while":               {measured: steady, after: 9 * time.Second, given: [3]time.Duration{300 * ms, 300 * ms, 300 * ms}},
		"less time, but the measurement is old":  {measured: steady, after: 21 * time.Second, given: [3]time.Duration{300 * ms, 300 * ms, 300 * ms}, ejected: true},
		"as much time as the class takes, hangs": {measured: steady, given: [3]time.Duration{700 * ms, 700 * ms, 700 * ms}, ejected: true},
		"enough time, a while after it hung":     {measured: steady, after: 9 * time.Second, given: [3]time.Duration{700 * ms, 700 * ms, 700 * ms}, ejected: true},
		"one of three had little time":           {measured: steady, given: [3]time.Duration{time.Second, 300 * ms, time.Second}},
		"more than the mean, less than is usual": {measured: varying, given: [3]time.Duration{50 * ms, 50 * ms, 50 * ms}},
		"slower than other servers of the class": {measured: varying, given: [3]time.Duration{100 * ms, 100 * ms, 100 * ms}, ejected: true},
		"more than usual, one took longer":       {measured: outlier, given: [3]time.Duration{300 * ms, 300 * ms, 300 * ms}, ejected: true},
		"all the time that requests have, hangs": {measured: bounded, given: [3]time.Duration{100 * ms, 100 * ms, 100 * ms}, ejected: true},
		"slow, one slow answer was just in time": {measured: varying, raised: 95 * ms, given: [3]time.Duration{100 * ms, 100 * ms, 100 * ms}, ejected: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var times ServiceTimes
			other, q := New(&times, Settings{}), New(&times, Settings{})
			other.SetServers(start, []Server{{ID: "b", Slots: 1}})
			for _, took := range test.measured {
				is.Equal(other.Offer(start, request(0, 1000, 1000)), Start{Server: "b"})
				other.Done(start, "b", "c", Answered, took)
			}
			q.SetServers(start, []Server{{ID: "a", Slots: 3}})
			if test.raised > 0 {
				is.Equal(q.Offer(start, request(0, 1000, 1000)), Start{Server: "a"})
				q.Done(start, "a", "c", Answered, test.raised)
			}
			now := start.Add(test.after)
			r := Request{Class: "c", Objective: now.Add(time.Minute), Deadline: now.Add(time.Minute)}
			for range test.given {
				is.Equal(q.Offer(now, r), Start{Server: "a"})
			}
			for _, given := range test.given {
				q.Done(now, "a", "c", TimedOut, given)
			}
			_, started := q.Offer(now, r).(Start)
			is.Equal(!started, test.ejected)
		})
	}
}

// TestEjectedServerStaysOnProbationAfterShortRequest guards against a server that hangs and gets all requests again after a request
// that had too little time to find that out.
func TestEjectedServerStaysOnProbationAfterShortRequest(t *testing.T) {
	is := is.New(t)
	q := &Queue{}
	q.SetServers(start, []Server{{ID: "a", Slots: 3}})
	is.Equal(q.Offer(start, request(0, 1000, 1000)), Start{Server: "a"})
	q.Done(start, "a", "c", Answered, 100*time.Millisecond)
	for range failuresToEject {
		is.Equal(q.Offer(start, request(0, 1000, 1000)), Start{Server: "a"})
		q.Done(start, "a", "c", TimedOut, time.Second)
	}
	is.Equal(q.Offer(at(500), request(0, 2000, 2000)), Start{Server: "a"})
	q.Done(at(550), "a", "c", TimedOut, 50*time.Millisecond)
	is.Equal(q.Offer(at(550), request(0, 2000, 2000)), Start{Server: "a"})
	_, started := q.Offer(at(550), request(0, 2000, 2000)).(Start)
	is.True(!started) // one at a time
	q.Done(at(650), "a", "c", TimedOut, 100*time.Millisecond)
	_, refused := q.Offer(at(650), request(0, 2000, 2000)).(Refuse)
	is.True(refused)
}

// TestRejectingServerIsEjectedOnlyIfThereIsAnother guards against a rejecting server that keeps getting requests which
// another server could execute, and against the ejection of the only server, such as the owner of keys: that would also
// refuse the requests that it accepts.
func TestRejectingServerIsEjectedOnlyIfThereIsAnother(t *testing.T) {
	tests := map[string]struct {
		servers []Server
		next    Decision
	}{
		"another server": {servers: []Server{{ID: "a", Slots: 1}, {ID: "b", Slots: 1}}, next: Start{Server: "b"}},
		"only server":    {servers: []Server{{ID: "a", Slots: 1}}, next: Start{Server: "a"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := &Queue{}
			q.SetServers(start, test.servers)
			for range failuresToEject {
				is.Equal(q.Offer(start, request(1, 900, 900)), Start{Server: "a"})
				q.Done(start, "a", "c", Rejected, 0)
			}
			is.Equal(q.Offer(start, request(1, 900, 900)), test.next)
		})
	}
}

// TestAvoidedServerIsUsedLast guards against a retry at the server that has just failed, and against one that is refused
// because only this server has a free slot.
func TestAvoidedServerIsUsedLast(t *testing.T) {
	is := is.New(t)
	q := &Queue{}
	q.SetServers(start, []Server{{ID: "a", Slots: 1}, {ID: "b", Slots: 1}})
	r := request(1, 900, 900)
	r.AvoidServer = "a"
	is.Equal(q.Offer(start, r), Start{Server: "b"})
	is.Equal(q.Offer(start, r), Start{Server: "a"})
}

// TestRemovedServerFinishesItsRequests guards against running requests that are lost from the counts when their server is
// removed, and against removed servers that are never dropped.
func TestRemovedServerFinishesItsRequests(t *testing.T) {
	is := is.New(t)
	q := busyQueue(t)
	is.Equal(q.Offer(start, request(1, 900, 900)), Wait{Ticket: 1})
	change := q.SetServers(start, []Server{{ID: "b", Slots: 1}})
	is.Equal(change.Started, []Started{{Ticket: 1, Server: "b"}})
	is.Equal(q.Running(), 2)
	q.Done(start, "a", "c", Answered, time.Millisecond)
	q.Done(start, "b", "c", Answered, time.Millisecond)
	is.Equal(q.Running(), 0)
	q.SetServers(start, nil)
	is.True(q.Empty())
}

// TestNoRequestWaitsForServerEjectedTwice guards against requests that wait for the only server after its second ejection,
// and against clients that are not told when it is tried again.
func TestNoRequestWaitsForServerEjectedTwice(t *testing.T) {
	is := is.New(t)
	q := &Queue{}
	q.SetServers(start, []Server{{ID: "a", Slots: 3}})
	for range failuresToEject {
		is.Equal(q.Offer(start, request(1, 9000, 9000)), Start{Server: "a"})
	}
	for range failuresToEject {
		q.Done(start, "a", "c", Failed, 0)
	}
	// The failure may be brief, so a request waits for the end of the first ejection.
	is.Equal(q.Offer(start, request(1, 9000, 9000)), Wait{Ticket: 1})
	ejectionEnd := start.Add(minEjectionTime)
	is.Equal(q.Advance(ejectionEnd).Started, []Started{{Ticket: 1, Server: "a"}})
	_, waits := q.Offer(ejectionEnd, request(1, 9000, 9000)).(Wait)
	is.True(waits) // after an ejection the server gets one request at a time
	change := q.Done(ejectionEnd, "a", "c", Failed, 0)
	is.Equal(len(change.Refused), 1)
	is.Equal(change.Refused[0].RetryAfter, 2*minEjectionTime)
	is.Equal(q.Offer(ejectionEnd, request(1, 9000, 9000)), Refuse{RetryAfter: 2 * minEjectionTime})
}

// TestPausedServerGetsNothing guards against requests that are started at a server while it wants none, against waiting
// requests that are held back although they can't be answered in time, and against a burst when the pause ends.
func TestPausedServerGetsNothing(t *testing.T) {
	is := is.New(t)
	var q Queue
	q.SetServers(start, []Server{{ID: "a", Slots: 2}})
	request := func(deadline time.Duration) Request {
		return Request{Objective: start.Add(deadline), Deadline: start.Add(deadline)}
	}
	for range 2 {
		is.Equal(q.Offer(start, request(time.Minute)), Start{Server: "a"})
	}
	_, waits := q.Offer(start, request(3*time.Second)).(Wait)
	is.True(waits)
	change := q.Pause(start, "a", at(10000))
	is.Equal(len(change.Refused), 1) // it can't be answered in time
	is.Equal(change.Refused[0].RetryAfter, 10*time.Second)
	is.Equal(q.Done(at(1000), "a", "", Rejected, 0), Change{})
	is.Equal(q.Offer(at(1000), request(5*time.Second)), Refuse{RetryAfter: 9 * time.Second})
	q.Pause(at(1000), "a", at(2000)) // a shorter pause does not end a longer one
	is.Equal(q.Offer(at(3000), request(5*time.Second)), Refuse{RetryAfter: 7 * time.Second})
	q.Done(at(4000), "a", "", Inconclusive, 0)
	is.Equal(q.Offer(at(10000), request(time.Minute)), Start{Server: "a"})
	_, waits = q.Offer(at(10000), request(time.Minute)).(Wait)
	is.True(waits) // until one request was answered
	change = q.Done(at(11000), "a", "", Answered, time.Second)
	is.Equal(len(change.Started), 1)
	is.Equal(q.Offer(at(11000), request(time.Minute)), Start{Server: "a"})
}

// TestOtherServersAreUsedDuringPause guards against requests that are refused although another server has a free slot.
func TestOtherServersAreUsedDuringPause(t *testing.T) {
	is := is.New(t)
	var q Queue
	q.SetServers(start, []Server{{ID: "a", Slots: 2, PausedUntil: at(1000)}, {ID: "b", Slots: 2}})
	for range 2 {
		is.Equal(q.Offer(start, Request{Objective: at(60_000), Deadline: at(60_000)}), Start{Server: "b"})
	}
}

// TestRefusedRequestsGetTheSameRetryAfter guards against an estimate from a list of waiting requests that is being changed.
func TestRefusedRequestsGetTheSameRetryAfter(t *testing.T) {
	is := is.New(t)
	var q Queue
	q.SetServers(start, []Server{{ID: "a", Slots: 1}})
	is.Equal(q.Offer(start, Request{Objective: at(60_000), Deadline: at(60_000)}), Start{Server: "a"})
	for range 4 {
		_, waits := q.Offer(start, Request{Objective: at(1000), Deadline: at(1000)}).(Wait)
		is.True(waits)
	}
	change := q.Advance(at(999))
	is.Equal(len(change.Refused), 4)
	for _, r := range change.Refused {
		is.Equal(r.RetryAfter, change.Refused[0].RetryAfter)
	}
}

// TestServerLimitSpacesRequests guards against a server with a limit that gets more requests a second than it names, whatever
// slots are free, and against requests that wait although another server may take them.
func TestServerLimitSpacesRequests(t *testing.T) {
	is := is.New(t)
	q := &Queue{}
	q.SetServers(start, []Server{{ID: "a", Slots: 4, Limited: true, Rate: 2}})
	started := 0
	for ms := 0; ms < 10_000; ms += 50 { // 20 requests a second
		if _, ok := q.Offer(at(ms), request(0, ms+3000, ms+3000)).(Start); ok {
			started++
			q.Done(at(ms), "a", "c", Answered, 10*time.Millisecond)
		}
		for _, s := range q.Advance(at(ms)).Started {
			started++
			q.Done(at(ms), s.Server, "c", Answered, 10*time.Millisecond)
		}
	}
	is.True(started <= 21)
	is.True(started >= 19)
	q.SetServers(at(10_000), []Server{{ID: "a", Slots: 4, Limited: true, Rate: 2}, {ID: "b", Slots: 4}})
	is.Equal(q.Waiting(), 2) // the free server has taken the others
	q.SetServers(at(10_000), []Server{{ID: "b", Slots: 4}})
}

// TestLimitedServerRefusesWhatItCannotTake guards against clients that wait until their deadline for a server whose limit
// leaves no room for them, and against a Retry-After at which there is none either.
func TestLimitedServerRefusesWhatItCannotTake(t *testing.T) {
	is := is.New(t)
	q := &Queue{}
	q.SetServers(start, []Server{{ID: "a", Slots: 4, Limited: true, Rate: 0.5}})
	refusal, ok := q.Offer(start, request(0, 1500, 1500)).(Refuse)
	is.True(ok) // the first request may begin after 2 s
	is.True(refusal.RetryAfter >= 2*time.Second && refusal.RetryAfter < 2100*time.Millisecond)
	is.Equal(q.Offer(start, request(0, 2500, 2500)), Wait{Ticket: 2})
	refusal, ok = q.Offer(start, request(0, 3500, 3500)).(Refuse)
	is.True(ok) // the second one after 4 s
	is.True(refusal.RetryAfter >= 4*time.Second && refusal.RetryAfter < 4100*time.Millisecond)
	change := q.SetLimit(start, "a", false, 0)
	is.Equal(change.Started, []Started{{Ticket: 2, Server: "a"}}) // at once when the limit is withdrawn
}

// TestSuspectsDoNotShareAServer guards against a request that is taken for one that crashes servers, because it runs beside that
// one again and again.
func TestSuspectsDoNotShareAServer(t *testing.T) {
	is := is.New(t)
	q := &Queue{}
	q.SetServers(start, []Server{{ID: "a", Slots: 4}})
	suspect := request(0, 1000, 1000)
	suspect.Suspect = true
	is.Equal(q.Offer(start, suspect), Start{Server: "a"})
	is.Equal(q.Offer(start, suspect), Wait{Ticket: 1})
	change := q.SetServers(start, []Server{{ID: "a", Slots: 4}, {ID: "b", Slots: 4}})
	is.Equal(change.Started, []Started{{Ticket: 1, Server: "b"}})
	is.Equal(q.Offer(start, request(0, 1000, 1000)), Start{Server: "a"}) // others run beside a suspect
	is.Equal(q.Offer(start, suspect), Wait{Ticket: 2})
	q.EndSuspect("b")
	change = q.Done(start, "b", "c", Answered, time.Millisecond)
	is.Equal(change.Started, []Started{{Ticket: 2, Server: "b"}})
}

// TestSubstituteBoundsOnlyWaitsForLimits guards against requests that are refused after a second at an instance that stands in for
// a dispatcher, although no limit keeps them.
func TestSubstituteBoundsOnlyWaitsForLimits(t *testing.T) {
	tests := map[string]struct {
		server  Server
		refused int
	}{
		"limit":    {server: Server{ID: "a", Slots: 1, Limited: true, Rate: 0.5}, refused: 1},
		"no limit": {server: Server{ID: "a", Slots: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := &Queue{}
			q.SetServers(start, []Server{{ID: "a", Slots: 1}})
			is.Equal(q.Offer(start, request(0, 5000, 5000)), Start{Server: "a"})
			r := request(0, 5000, 5000)
			r.Substitute = true
			is.Equal(q.Offer(start, r), Wait{Ticket: 1})
			change := q.SetServers(at(1500), []Server{test.server})
			is.Equal(len(change.Refused), test.refused)
		})
	}
}

// TestLimitDeadlines guards against a waiting request that is started although its instance ends before the answer, and against
// refusing one that can still be answered.
func TestLimitDeadlines(t *testing.T) {
	tests := map[string]struct {
		latest, deadline int
		wantRefused      bool
	}{
		"answered before the end":       {latest: 400, deadline: 5000},
		"not answered before the end":   {latest: 120, deadline: 5000, wantRefused: true},
		"its own deadline is earlier":   {latest: 5000, deadline: 400},
		"its own deadline is too early": {latest: 5000, deadline: 160, wantRefused: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := busyQueue(t)
			q.load = 0
			is.Equal(q.Offer(start, request(1, 5000, test.deadline)), Wait{Ticket: 1})
			change := q.LimitDeadlines(at(20), at(test.latest))
			is.Equal(len(change.Started), 0)
			is.Equal(len(change.Refused) == 1, test.wantRefused)
			if test.wantRefused {
				return
			}
			is.Equal(q.Done(at(390), "a", "c", Answered, 100*time.Millisecond).Started, []Started(nil)) // too late by then
		})
	}
}
