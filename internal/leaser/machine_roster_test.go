package leaser

import (
	"slices"

	"pgregory.net/rapid"
)

// change proposes other witnesses; the record lands now, later or never.
func (m *machine) change(t *rapid.T) {
	if m.pending == nil && !m.expelled {
		m.pending = rapid.Permutation(m.ids).Draw(t, "next")[:rapid.IntRange(1, len(m.ids)).Draw(t, "count")]
	}
}

func (m *machine) land(t *rapid.T) {
	if m.pending == nil || m.read != len(m.log) {
		t.Skip("nothing to land")
	}
	m.log = append(m.log, record{witnesses: m.pending})
}

func (m *machine) expel(t *rapid.T) {
	if m.recorded(len(m.log)).Expelled || rapid.IntRange(0, 3).Draw(t, "spared") > 0 {
		t.Skip("not now")
	}
	m.log = append(m.log, record{expel: true})
}

// witnessReads shows a witness the whole log.
func (m *machine) witnessReads(t *rapid.T) {
	w := m.witnesses[rapid.SampledFrom(m.ids).Draw(t, "reader")]
	if m.recorded(len(m.log)).Expelled && !w.expelSeen {
		w.expelSeen = true
		w.expelRead = w.read(m.passed)
	}
}

// release records the release of every witness whose pledge has run out.
func (m *machine) release(*rapid.T) {
	member := m.recorded(len(m.log))
	for _, id := range m.ids {
		w := m.witnesses[id]
		if !w.expelSeen {
			continue
		}
		now := w.read(m.passed)
		if !now.Before(w.expelRead.Add(Stretch(machineLimit, machineDrift))) {
			m.leave()
		}
		due := w.promises.ReleaseAt("holder", w.expelRead, machineLease, machinePledge, machineDrift)
		if now.Before(due) || !slices.Contains(member.Witnesses, id) || slices.Contains(m.released, id) {
			continue
		}
		m.released = append(m.released, id)
	}
	if len(m.released) >= member.ReleasesNeeded() {
		m.leave()
	}
}

func (m *machine) leave() {
	if !m.gone {
		m.gone = true
		m.reached.gone++
	}
}
