package inquirer

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/cataloger"
)

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// TestServerEndsOnlyOnWholeEvidence guards against the end of the leases of a server that may live, on a part of the evidence, and
// against leases that are waited for although the evidence is whole.
func TestServerEndsOnlyOnWholeEvidence(t *testing.T) {
	subject := Subject{Server: "a", Incarnation: 10, Address: "x:1"}
	holder := cataloger.Server{ID: "b", Service: "other", Address: "x:1", Incarnation: 20}
	foreign := cataloger.Server{ID: "f", Service: "metrics", Address: "x:1", Incarnation: 30}
	tests := map[string]struct {
		registered []cataloger.Server
		answers    []Answer
		want       []Outcome // without an entry, no question is asked
	}{
		"two answers of the holder": {
			[]cataloger.Server{holder}, []Answer{Named{"b"}, Named{"b"}}, []Outcome{Doubted, Ended},
		},
		"a foreign entry at the address too": {
			[]cataloger.Server{holder, foreign}, []Answer{Named{"b"}, Named{"b"}}, []Outcome{Doubted, Ended},
		},
		"later incarnation at another address": {
			[]cataloger.Server{holder, {ID: "a", Address: "y:1", Incarnation: 15}}, []Answer{Named{"b"}, Named{"b"}},
			[]Outcome{Doubted, Ended},
		},
		"no answer in between": {
			[]cataloger.Server{holder}, []Answer{Named{"b"}, Silent{}, Named{"b"}}, []Outcome{Doubted, Unanswered, Ended},
		},
		"foreign entry, the server itself answers": {
			[]cataloger.Server{foreign}, []Answer{Named{"a"}, Named{"a"}}, []Outcome{Alive, Alive},
		},
		"foreign entry, nobody answers": {
			[]cataloger.Server{foreign}, []Answer{Silent{}, Silent{}}, []Outcome{Unanswered, Unanswered},
		},
		"the server itself answers in between": {
			[]cataloger.Server{holder}, []Answer{Named{"b"}, Named{"a"}, Named{"b"}}, []Outcome{Doubted, Alive, Doubted},
		},
		"different servers answer": {
			[]cataloger.Server{holder, foreign}, []Answer{Named{"b"}, Named{"f"}, Named{"b"}}, []Outcome{Doubted, Doubted, Doubted},
		},
		"a server answers that is not registered": {
			[]cataloger.Server{holder}, []Answer{Named{"c"}, Named{"c"}}, []Outcome{Unanswered, Unanswered},
		},
		"a server answers that is registered elsewhere": {
			[]cataloger.Server{holder, {ID: "c", Address: "y:1", Incarnation: 30}}, []Answer{Named{"c"}, Named{"c"}},
			[]Outcome{Unanswered, Unanswered},
		},
		"only registered elsewhere":         {[]cataloger.Server{{ID: "b", Address: "y:1", Incarnation: 20}}, nil, nil},
		"the holder started earlier":        {[]cataloger.Server{{ID: "b", Address: "x:1", Incarnation: 9}}, nil, nil},
		"still registered":                  {[]cataloger.Server{holder, {ID: "a", Address: "x:1", Incarnation: 10}}, nil, nil},
		"registered again, same address":    {[]cataloger.Server{holder, {ID: "a", Address: "x:1", Incarnation: 15}}, nil, nil},
		"registered elsewhere, same start":  {[]cataloger.Server{holder, {ID: "a", Address: "y:1", Incarnation: 10}}, nil, nil},
		"nobody is registered at the place": {nil, nil, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var q Inquirer
			for n := range max(1, len(test.answers)) {
				now := epoch.Add(time.Duration(n) * AskInterval)
				q.SetSubjects(now, []Subject{subject}, test.registered)
				due := q.Due(now)
				is.Equal(len(due), min(1, len(test.want)))
				if len(due) > 0 {
					outcome, _ := q.Complete(now, due[0], test.answers[n])
					is.Equal(outcome, test.want[n])
				}
			}
		})
	}
}

// TestEvidenceEndsWithWhatItIsAbout guards against answers that count although they are too old, are about an earlier incarnation, or
// came before the server accepted an order, and against a registration that was withdrawn while the question was on its way.
func TestEvidenceEndsWithWhatItIsAbout(t *testing.T) {
	subject := Subject{Server: "a", Incarnation: 10, Address: "x:1"}
	registered := []cataloger.Server{{ID: "b", Address: "x:1", Incarnation: 20}}
	tests := map[string]struct {
		between func(q *Inquirer) // between the two answers
		late    time.Duration
		want    Outcome
	}{
		"nothing happens":              {want: Ended},
		"the first answer is too old":  {late: maxAnswerAge + time.Millisecond, want: Doubted},
		"the server accepts an order":  {between: func(q *Inquirer) { q.Forget("a") }, want: Unanswered},
		"the holder is not registered": {between: func(q *Inquirer) { q.SetSubjects(at(600), []Subject{subject}, nil) }, want: Unanswered},
		"the server is registered again": {
			between: func(q *Inquirer) {
				q.SetSubjects(at(600), []Subject{subject}, append(slices.Clone(registered),
					cataloger.Server{ID: "a", Address: "x:1", Incarnation: 10}))
			},
			want: Unanswered,
		},
		"a later incarnation fails": {
			between: func(q *Inquirer) {
				q.SetSubjects(at(600), []Subject{{Server: "a", Incarnation: 11, Address: "x:1"}}, registered)
			},
			want: Unanswered,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var q Inquirer
			q.SetSubjects(at(0), []Subject{subject}, registered)
			outcome, _ := q.Complete(at(0), q.Due(at(0))[0], Named{"b"})
			is.Equal(outcome, Doubted)
			due := q.Due(at(500))
			if test.between != nil {
				test.between(&q)
			}
			outcome, from := q.Complete(at(700).Add(test.late), due[0], Named{"b"})
			is.Equal(outcome, test.want)
			is.True(outcome != Ended || from.Equal(at(0)))
		})
	}
}

// TestQuestionsAreBounded guards against a storm of questions when many servers fail, against a server that is never asked about
// because others come first, and against places that silent addresses keep.
func TestQuestionsAreBounded(t *testing.T) {
	is := is.New(t)
	var q Inquirer
	var subjects []Subject
	var registered []cataloger.Server
	for n := range 30 {
		address := fmt.Sprint("x:", n)
		subjects = append(subjects, Subject{Server: fmt.Sprint("a", n), Incarnation: 10, Address: address})
		registered = append(registered, cataloger.Server{ID: fmt.Sprint("b", n), Address: address, Incarnation: 20})
	}
	type pending struct {
		question Question
		until    time.Time
	}
	var inFlight []pending
	var sent []time.Time
	lastAsked, asked := map[string]time.Time{}, map[string]int{}
	for ms := 0; ms < 20000; ms += 10 {
		now := at(ms)
		q.SetSubjects(now, subjects, registered)
		inFlight = slices.DeleteFunc(inFlight, func(p pending) bool {
			if now.Before(p.until) {
				return false
			}
			q.Complete(now, p.question, Silent{})
			return true
		})
		for _, question := range q.Due(now) {
			id := question.Subject.Server
			is.True(lastAsked[id].IsZero() || now.Sub(lastAsked[id]) >= AskInterval)
			lastAsked[id] = now
			asked[id]++
			inFlight = append(inFlight, pending{question, now.Add(200 * time.Millisecond)})
			sent = append(sent, now)
		}
		is.True(len(inFlight) <= maxInFlight)
		if len(sent) > maxPerSecond {
			is.True(now.Sub(sent[len(sent)-1-maxPerSecond]) >= time.Second || sent[len(sent)-1] != now)
		}
	}
	is.Equal(len(asked), 30)
	is.True(len(sent) >= 150) // of 160
}

// world is what really happens to servers, beside what registrations say.
type world struct {
	random  *rand.Rand
	now     time.Time
	catalog cataloger.Catalog
	living  map[string]*process // by address
	last    map[string]*process // latest incarnation of each server
	shared  bool                // addresses may be given to a second server while the first one lives
	nextID  int
}

// process is an incarnation of a server.
type process struct {
	server    cataloger.Server
	ended     bool
	suspended bool
	cut       bool // from the leader
}

// start starts a server under an id, at an address that no other server has.
func (w *world) start(id string) {
	address := fmt.Sprint("x:", w.random.Intn(8))
	if p := w.living[address]; p != nil && !w.shared || w.last[id] != nil && !w.last[id].ended {
		return
	}
	p := &process{server: cataloger.Server{ID: id, Service: "s", Address: address, Incarnation: w.now.UnixMilli()}}
	w.living[address], w.last[id] = p, p
	w.catalog.Put(w.now, time.Second, p.server)
}

// step lets one thing happen: to a server, to a path, or by another writer of the topic.
func (w *world) step() {
	ids := []string{"a", "b", "c", "d", "e", "f"}
	id := ids[w.random.Intn(len(ids))]
	p := w.last[id]
	w.start(id)
	if p == nil {
		return
	}
	switch w.random.Intn(8) {
	case 0:
		p.ended = true
		if w.living[p.server.Address] == p {
			delete(w.living, p.server.Address)
		}
	case 1:
		p.suspended = !p.suspended
	case 2:
		p.cut = !p.cut
	case 3: // the registration expires, or another writer removes it
		w.catalog.Remove(w.now, w.now, id)
	case 4: // a heartbeat, also a late one
		w.catalog.Put(w.now, time.Second, p.server)
	case 5: // another writer's entry at the address of a server
		w.nextID++
		w.catalog.Put(w.now, time.Second, cataloger.Server{
			ID: fmt.Sprint("foreign", w.nextID%4), Service: "metrics", Address: p.server.Address, Incarnation: w.now.UnixMilli(),
		})
	case 6: // another writer's entry under the id of a server, at another address
		foreign := p.server
		foreign.Address = fmt.Sprint("x:", w.random.Intn(8))
		w.catalog.Put(w.now, time.Second, foreign)
	}
}

// answer returns the answer that a question gets at an address.
func (w *world) answer(address string) Answer {
	p := w.living[address]
	if p == nil || p.suspended || p.cut || w.random.Intn(10) == 0 {
		return Silent{}
	}
	return Named{p.server.ID}
}

// endings runs a world with an Inquirer, and returns how many servers counted as ended, and the first one that lived.
func endings(seed int64, shared bool) (ended int, violation string) {
	w := &world{
		random: rand.New(rand.NewSource(seed)), now: epoch, living: map[string]*process{}, last: map[string]*process{}, shared: shared,
	}
	var q Inquirer
	type pending struct {
		question Question
		answer   Answer
		until    time.Time
	}
	var inFlight []pending
	subjects := func() []Subject { // any server may seem to fail, because the leader is cut off from it
		var list []Subject
		for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
			if s, known := w.catalog.LastKnown(id); known && !w.catalog.Moved(id) {
				list = append(list, Subject{Server: id, Incarnation: s.Incarnation, Address: s.Address})
			}
		}
		return list
	}
	for range 2000 {
		w.now = w.now.Add(50 * time.Millisecond)
		if w.random.Intn(6) == 0 {
			w.step()
		}
		q.SetSubjects(w.now, subjects(), w.catalog.Servers())
		inFlight = slices.DeleteFunc(inFlight, func(p pending) bool {
			if w.now.Before(p.until) {
				return false
			}
			if outcome, _ := q.Complete(w.now, p.question, p.answer); outcome == Ended {
				ended++
				if l := w.last[p.question.Subject.Server]; !l.ended && l.server.Incarnation <= p.question.Subject.Incarnation {
					violation = fmt.Sprintf("%v: %+v counts as ended", w.now.Sub(epoch), p.question.Subject)
				}
			}
			return true
		})
		for _, question := range q.Due(w.now) {
			delay := time.Duration(w.random.Intn(1000)) * time.Millisecond
			inFlight = append(inFlight, pending{question, w.answer(question.Subject.Address), w.now.Add(delay)})
		}
		if violation != "" {
			break
		}
	}
	return ended, violation
}

// TestLivingServersNeverCountAsEnded guards against the end of the leases of a server that lives, whatever other writers register or
// remove, and while it is suspended, cut off, or answers late; and against evidence that is never whole.
func TestLivingServersNeverCountAsEnded(t *testing.T) {
	total := 0
	for seed := range int64(100) {
		ended, violation := endings(seed, false)
		if total += ended; violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
	}
	if total < 100 {
		t.Fatalf("only %d servers counted as ended in 100 runs", total)
	}
	for seed := range int64(100) { // the check detects a platform that gives an address to two servers
		if _, violation := endings(seed, true); violation != "" {
			return
		}
	}
	t.Fatal("no violation although addresses are shared")
}
