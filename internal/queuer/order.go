package queuer

import (
	"slices"
	"time"
)

// missesObjective reports whether a request would be late even if it were started now.
func (q *Queue) missesObjective(now time.Time, w *waitingRequest) bool {
	return now.Add(q.serviceTime(w.Request)).After(w.Objective)
}

// sort sorts the waiting requests in the order in which they are started: those that can meet their objective before late
// ones, then by priority, then by objective, or by deadline among late ones. With reservation, those that are entitled to a
// slot come first.
func (q *Queue) sort(now time.Time) {
	slices.SortFunc(q.waiting, func(a, b *waitingRequest) int {
		lateA, lateB := q.missesObjective(now, a), q.missesObjective(now, b)
		switch {
		case lateA != lateB && lateA:
			return 1
		case lateA != lateB:
			return -1
		case a.Priority != b.Priority:
			return a.Priority - b.Priority
		case lateA:
			return thenByTicket(a, b, a.Deadline.Compare(b.Deadline))
		}
		return thenByTicket(a, b, a.Objective.Compare(b.Objective))
	})
	if q.settings.Reservation {
		q.entitle(now)
		slices.SortStableFunc(q.waiting, func(a, b *waitingRequest) int {
			switch {
			case a.entitled == b.entitled:
				return 0
			case a.entitled:
				return -1
			}
			return 1
		})
	}
}

// thenByTicket returns order, or the order of the tickets if it is 0.
func thenByTicket(a, b *waitingRequest, order int) int {
	if order != 0 {
		return order
	}
	return compareTickets(a, b)
}

// compareTickets orders two different requests by their arrival.
func compareTickets(a, b *waitingRequest) int {
	if a.ticket < b.ticket {
		return -1
	}
	return 1
}
