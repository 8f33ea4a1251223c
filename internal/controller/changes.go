package controller

import (
	"cmp"
	"maps"
	"slices"
)

// changeReports are the changes that this instance has learned from servers' answers and reports to the leader, by the key of
// what has changed. The values themselves are the Forwarder's. Only the control loop uses it.
type changeReports[K cmp.Ordered] struct {
	version      changeVersion // of what was received from the leader
	unreported   map[K]bool
	reported     map[K]bool // in the report in flight
	reportedTerm uint64     // of the leader that gets the reports
}

// changeVersion says which changes were received from the leader of a term.
type changeVersion struct{ term, number uint64 }

// changed records a change.
func (r *changeReports[K]) changed(key K) {
	if r.unreported == nil {
		r.unreported = map[K]bool{}
	}
	r.unreported[key] = true
}

// beginReport returns the keys for a report to the leader of a term, which are reported again if it fails. A leader may not
// know what its predecessor was told, so the first report to it has all that are known.
func (r *changeReports[K]) beginReport(term uint64, known []K) []K {
	if term != r.reportedTerm {
		r.reportedTerm = term
		for _, key := range known {
			r.changed(key)
		}
	}
	r.reported, r.unreported = r.unreported, nil
	return slices.Sorted(maps.Keys(r.reported))
}

// reportFailed records that the report in flight got no answer of the leader.
func (r *changeReports[K]) reportFailed() {
	for key := range r.reported {
		r.changed(key)
	}
	r.reported = nil
}

// reportAnswered records that the leader has received the report in flight.
func (r *changeReports[K]) reportAnswered() { r.reported = nil }

// received records that the changes up to a version were received from the leader.
func (r *changeReports[K]) received(version changeVersion) {
	if version.term == r.version.term {
		version.number = max(version.number, r.version.number)
	}
	r.version = version
}

// changeLog numbers the changes that a leader passes on. It keeps the latest number of each key. The zero changeLog is empty.
type changeLog[K cmp.Ordered] struct {
	last    uint64
	numbers map[K]uint64
}

// record numbers a change.
func (l *changeLog[K]) record(key K) {
	if l.numbers == nil {
		l.numbers = map[K]uint64{}
	}
	l.last++
	l.numbers[key] = l.last
}

// since returns the keys that have changed since a version that an instance has from the leader of a term, and false if there
// are none. A version of another term counts as nothing.
func (l *changeLog[K]) since(term uint64, version changeVersion) ([]K, bool) {
	if version.term != term {
		version.number = 0
	}
	if version.number >= l.last {
		return nil, false
	}
	var keys []K
	for key, number := range l.numbers {
		if number > version.number {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys, true
}

// retain drops the keys for which keep returns false.
func (l *changeLog[K]) retain(keep func(key K) bool) {
	maps.DeleteFunc(l.numbers, func(key K, _ uint64) bool { return !keep(key) })
}
