package queuer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// filled returns a queue with one server of one slot that is in use, and a mean service time of 100 ms.
func filled(t *testing.T) *Queue {
	t.Helper()
	is := is.New(t)
	q := &Queue{}
	q.SetServers(start, []Server{{ID: "a", Slots: 1}})
	is.Equal(q.Offer(start, request(0, 1000, 1000)), Start{Server: "a"})
	q.Done(start, "a", "c", Answered, 100*time.Millisecond)
	is.Equal(q.Offer(start, request(0, 1000, 1000)), Start{Server: "a"})
	return q
}

func request(priority, objective, limit int) Request {
	return Request{Class: "c", Priority: priority, Objective: at(objective), Deadline: at(limit)}
}

func TestOrder(t *testing.T) {
	tests := map[string]struct {
		waiting []Request // tickets from 1
		want    []Ticket
	}{
		"first come":             {waiting: []Request{request(1, 500, 900), request(1, 500, 900)}, want: []Ticket{1, 2}},
		"urgent class first":     {waiting: []Request{request(2, 500, 900), request(1, 500, 900)}, want: []Ticket{2, 1}},
		"earlier objective":      {waiting: []Request{request(1, 600, 900), request(1, 500, 900)}, want: []Ticket{2, 1}},
		"late ones come last":    {waiting: []Request{request(1, 50, 900), request(2, 500, 900)}, want: []Ticket{2, 1}},
		"late ones by their end": {waiting: []Request{request(1, 50, 950), request(1, 50, 900)}, want: []Ticket{2, 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := filled(t)
			q.load = 0
			for i, r := range test.waiting {
				is.Equal(q.Offer(start, r), Wait{Ticket: Ticket(i + 1)})
				q.load = 0 // the order alone is looked at
			}
			for _, want := range test.want {
				q.load = 0
				change := q.Done(start, "a", "c", Answered, 100*time.Millisecond)
				is.Equal(change.Started, []Started{{Ticket: want, Server: "a"}})
			}
		})
	}
}

func TestWhatCannotRunInTimeIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	q := filled(t)
	is.Equal(q.Offer(start, request(1, 1000, 1000)), Wait{Ticket: 1})
	refused, ok := q.Offer(start, request(1, 140, 140)).(Refuse) // 50 ms of what runs are ahead of its own 100 ms
	is.True(ok)
	is.True(refused.RetryAfter >= minRetry && refused.RetryAfter <= maxRetry)
	_, ok = q.Offer(at(300), request(1, 200, 200)).(Refuse)
	is.True(ok) // its time is up already
	is.Equal(q.Waiting(), 1)
}

func TestMoreUrgentRequestPushesOutAnother(t *testing.T) {
	is := is.New(t)
	q := filled(t)
	is.Equal(q.Offer(start, request(2, 300, 300)), Wait{Ticket: 1})
	is.Equal(q.Offer(start, request(1, 300, 300)), Wait{Ticket: 2})
	is.Equal(q.Offer(start, request(1, 400, 400)), Wait{Ticket: 3})
	change := q.Expire(at(10))
	is.Equal(len(change.GivenUp), 1)
	is.Equal(change.GivenUp[0].Ticket, Ticket(1))
}

func TestNeverMoreThanSlots(t *testing.T) {
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

func TestFailingServerIsLeftOutForAWhile(t *testing.T) {
	is := is.New(t)
	q := &Queue{}
	q.SetServers(start, []Server{{ID: "a", Slots: 1}, {ID: "b", Slots: 1}})
	for range failuresToEject {
		is.Equal(q.Offer(start, request(1, 900, 900)), Start{Server: "a"})
		q.Done(start, "a", "c", Failed, 0)
	}
	is.Equal(q.Offer(start, request(1, 900, 900)), Start{Server: "b"})
	q.Done(start, "b", "c", Answered, time.Millisecond)
	later := start.Add(ejection)
	r := Request{Class: "c", Objective: later.Add(time.Second), Deadline: later.Add(time.Second)}
	is.Equal(q.Offer(later, r), Start{Server: "a"}) // not measured yet, so taken for fast
	q.Done(later, "a", "c", Failed, 0)
	is.Equal(q.Offer(later, r), Start{Server: "b"}) // out again at once, for longer
}

// TestServerThatTurnsRequestsAway is left out where another one can run them. The owner of keys has no other one beside
// it: leaving it out would refuse also what it takes.
func TestServerThatTurnsRequestsAway(t *testing.T) {
	tests := map[string]struct {
		servers []Server
		next    Decision
	}{
		"others run them": {servers: []Server{{ID: "a", Slots: 1}, {ID: "b", Slots: 1}}, next: Start{Server: "b"}},
		"only server":     {servers: []Server{{ID: "a", Slots: 1}}, next: Start{Server: "a"}},
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

func TestAvoidedServerIsTheLastChoice(t *testing.T) {
	is := is.New(t)
	q := &Queue{}
	q.SetServers(start, []Server{{ID: "a", Slots: 1}, {ID: "b", Slots: 1}})
	r := request(1, 900, 900)
	r.AvoidServer = "a"
	is.Equal(q.Offer(start, r), Start{Server: "b"})
	is.Equal(q.Offer(start, r), Start{Server: "a"})
}

func TestServerThatLeavesFinishes(t *testing.T) {
	is := is.New(t)
	q := filled(t)
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

// TestServerThatStaysSilentIsNotWaitedFor: after its second ejection nothing waits for the only server, and clients hear
// when it is tried again.
func TestServerThatStaysSilentIsNotWaitedFor(t *testing.T) {
	is := is.New(t)
	q := &Queue{}
	q.SetServers(start, []Server{{ID: "a", Slots: 3}})
	for range failuresToEject {
		is.Equal(q.Offer(start, request(1, 9000, 9000)), Start{Server: "a"})
	}
	for range failuresToEject {
		q.Done(start, "a", "c", Failed, 0)
	}
	is.Equal(q.Offer(start, request(1, 9000, 9000)), Wait{Ticket: 1}) // it may be a hiccup
	back := start.Add(ejection)
	is.Equal(q.Expire(back).Started, []Started{{Ticket: 1, Server: "a"}})
	_, waits := q.Offer(back, request(1, 9000, 9000)).(Wait)
	is.True(waits) // one request at a time after an ejection
	change := q.Done(back, "a", "c", Failed, 0)
	is.Equal(len(change.GivenUp), 1)
	is.Equal(change.GivenUp[0].RetryAfter, 2*ejection)
	is.Equal(q.Offer(back, request(1, 9000, 9000)), Refuse{RetryAfter: 2 * ejection})
}
