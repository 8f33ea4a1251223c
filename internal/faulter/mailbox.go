package faulter

import "time"

// mailbox takes what arrives at a process. A halted process goes on later as if nothing had happened, with all that
// arrived meanwhile; a dead one never does.
type mailbox struct {
	schedule *clock
	dead     bool
	halted   bool
	buffer   []func()
}

// receive runs f now, when the process goes on, or never.
func (m *mailbox) receive(f func()) {
	switch {
	case m.dead:
	case m.halted:
		m.buffer = append(m.buffer, f)
	default:
		f()
	}
}

// halt stops the process for d.
func (m *mailbox) halt(d time.Duration) {
	m.halted = true
	m.schedule.after(d, func() {
		m.halted = false
		buffer := m.buffer
		m.buffer = nil
		for _, f := range buffer {
			m.receive(f)
		}
	})
}
