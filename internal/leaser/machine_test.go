package leaser

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wasabibank/wasabibank/internal/reducer"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// The times of the state machine.
const (
	machineLease  = 500 * time.Millisecond
	machinePledge = 2 * time.Second
	machineLimit  = 20 * time.Second
	machineDrift  = 0.05
)

// kept is a clock that runs at its own rate.
type kept struct {
	rate float64
}

func (k kept) read(passed time.Duration) time.Time {
	return start.Add(time.Duration(float64(passed) * k.rate))
}

// witness is one instance that pledges to the holder.
type witness struct {
	kept
	promises  Promises
	expelRead time.Time
	expelSeen bool
}

// record is one entry of the machine's log: a change of the witnesses, the expulsion, or a release.
type record struct {
	witnesses []identifier.InstanceID
	expel     bool
}

// read is one read of the log by the holder, under way.
type read struct {
	began   time.Time
	records int
}

// pledge is one exchange under way.
type pledge struct {
	by     identifier.InstanceID
	sentAt time.Time
}

// machine is one holder of a lease, its witnesses and the log. Every message can be late or lost.
type machine struct {
	t         *rapid.T
	passed    time.Duration
	holder    kept
	lease     Lease
	read      int
	expelled  bool
	pending   []identifier.InstanceID
	ids       []identifier.InstanceID
	witnesses map[identifier.InstanceID]*witness
	log       []record
	reads     []read
	requests  []pledge
	answers   []pledge
	released  []identifier.InstanceID
	gone      bool
	reached   *machineReach
}

// machineReach counts what the runs reached.
type machineReach struct {
	gone, byPledges, twoSets int
}

func newMachine(t *rapid.T, reached *machineReach) *machine {
	rate := func(name string) kept {
		return kept{rate: rapid.SampledFrom([]float64{1, 1 + machineDrift/2, 1 + machineDrift}).Draw(t, name)}
	}
	m := &machine{t: t, holder: rate("holder"), witnesses: map[identifier.InstanceID]*witness{}, reached: reached}
	m.ids = witnessIDs(rapid.IntRange(1, 5).Draw(t, "witnesses"))
	for _, id := range m.ids {
		m.witnesses[id] = &witness{kept: rate(string(id))}
	}
	m.log = []record{{witnesses: m.ids[:rapid.IntRange(1, len(m.ids)).Draw(t, "first")]}}
	m.read = 1
	return m
}

// recorded returns the witnesses after the first n records.
func (m *machine) recorded(n int) reducer.Member {
	var member reducer.Member
	for _, r := range m.log[:n] {
		if r.witnesses != nil && !member.Expelled {
			member.Witnesses = r.witnesses
		}
		member.Expelled = member.Expelled || r.expel
	}
	return member
}

func (m *machine) sets() []WitnessSet {
	member := m.recorded(m.read)
	sets := []WitnessSet{{Witnesses: member.Witnesses, Needed: member.PledgesNeeded()}}
	if m.pending != nil {
		next := reducer.Member{Witnesses: m.pending}
		sets = append(sets, WitnessSet{Witnesses: next.Witnesses, Needed: next.PledgesNeeded()})
	}
	return sets
}

// acts reports whether the holder may act now.
func (m *machine) acts() bool {
	now := m.holder.read(m.passed)
	return !m.expelled && now.Before(m.lease.Until(m.sets(), OutageMajority, machineLimit))
}

func (m *machine) check(t *rapid.T) {
	acts := m.acts()
	if acts && m.gone {
		t.Fatalf("the holder acts after it is gone from the roster")
	}
	if acts && !m.lease.Current(m.holder.read(m.passed)) {
		m.reached.byPledges++
		if m.pending != nil {
			m.reached.twoSets++
		}
	}
}

func (m *machine) pass(t *rapid.T) {
	m.passed += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
}

// passToRelease lets the time pass until the next witness may release.
func (m *machine) passToRelease(t *rapid.T) {
	next := time.Duration(0)
	for _, id := range m.ids {
		w := m.witnesses[id]
		if !w.expelSeen || slices.Contains(m.released, id) {
			continue
		}
		due := w.promises.ReleaseAt("holder", w.expelRead, machineLease, machinePledge, machineDrift)
		at := time.Duration(float64(due.Sub(start))/w.rate) + time.Microsecond
		if at > m.passed && (next == 0 || at < next) {
			next = at
		}
	}
	if next == 0 {
		t.Skip("nobody waits to release")
	}
	m.passed = next
	m.release(t)
}

// gather lets the holder ask all witnesses at once; each answer can be lost.
func (m *machine) gather(t *rapid.T) {
	for _, id := range m.ids {
		m.requests = append(m.requests, pledge{by: id, sentAt: m.holder.read(m.passed)})
	}
	for len(m.requests) > 0 {
		m.answer(t)
	}
	for len(m.answers) > 0 {
		m.receive(t)
	}
}

func (m *machine) beginRead(*rapid.T) {
	m.reads = append(m.reads, read{began: m.holder.read(m.passed), records: len(m.log)})
}

// endRead gives the holder the answer of the oldest read, or loses it.
func (m *machine) endRead(t *rapid.T) {
	if len(m.reads) == 0 {
		t.Skip("no read is under way")
	}
	done := m.reads[0]
	m.reads = m.reads[1:]
	if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
		return
	}
	for ; m.read < done.records; m.read++ {
		r := m.log[m.read]
		m.expelled = m.expelled || r.expel
		if r.witnesses != nil {
			m.pending = nil
		}
	}
	m.lease.Renew(done.began, machineLease)
}

func (m *machine) ask(t *rapid.T) {
	by := rapid.SampledFrom(m.ids).Draw(t, "asked")
	m.requests = append(m.requests, pledge{by: by, sentAt: m.holder.read(m.passed)})
}

// answer lets a witness answer the oldest request, unless it has read the expulsion.
func (m *machine) answer(t *rapid.T) {
	if len(m.requests) == 0 {
		t.Skip("no request is under way")
	}
	p := m.requests[0]
	m.requests = m.requests[1:]
	w := m.witnesses[p.by]
	if w.expelSeen {
		return
	}
	w.promises.Give("holder", w.read(m.passed))
	m.answers = append(m.answers, p)
}

func (m *machine) receive(t *rapid.T) {
	if len(m.answers) == 0 {
		t.Skip("no answer is under way")
	}
	p := m.answers[0]
	m.answers = m.answers[1:]
	if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
		m.lease.Pledged(p.by, p.sentAt, machinePledge)
	}
}

// TestLeaseNeverOutlivesARelease drives the machine at random.
func TestLeaseNeverOutlivesARelease(t *testing.T) {
	var reached machineReach
	rapid.Check(t, func(rt *rapid.T) {
		m := newMachine(rt, &reached)
		rt.Repeat(map[string]func(*rapid.T){
			"":        m.check,
			"pass":    m.pass,
			"due":     m.passToRelease,
			"due2":    m.passToRelease,
			"gather":  m.gather,
			"begin":   m.beginRead,
			"end":     m.endRead,
			"ask":     m.ask,
			"ask2":    m.ask,
			"answer":  m.answer,
			"answer2": m.answer,
			"receive": m.receive,
			"get":     m.receive,
			"change":  m.change,
			"land":    m.land,
			"expel":   m.expel,
			"seen":    m.witnessReads,
			"release": m.release,
		})
	})
	t.Logf("gone %d, acted by pledges %d, under two sets %d", reached.gone, reached.byPledges, reached.twoSets)
	if reached.gone == 0 || reached.byPledges == 0 || reached.twoSets == 0 {
		t.Fatal("the runs do not reach what they are for")
	}
}
