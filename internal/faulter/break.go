package faulter

import (
	"time"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// breakTime is how long a passing fault lasts.
const breakTime = 3 * time.Second

// lateTime is how late a late append is.
const lateTime = 5 * time.Second

// NamedBreak is a kind of damage.
type NamedBreak struct {
	Name  string
	Break Break
}

// Breaks lists the kinds of damage of the fault matrix.
func Breaks() []NamedBreak {
	return []NamedBreak{
		{"instance_killed", func(_ *World, at *instance, _ identifier.ServerName) { at.dead = true }},
		{"instance_paused", func(_ *World, at *instance, _ identifier.ServerName) { at.halt(breakTime) }},
		{"instance_cut_from_log", func(w *World, at *instance, _ identifier.ServerName) { w.cutFor(at.name, "log", breakTime) }},
		{"instance_cut_from_peers", func(w *World, at *instance, _ identifier.ServerName) { w.cutFromPeers(at) }},
		{"instance_cut_off", func(w *World, at *instance, _ identifier.ServerName) { w.cutOff(at) }},
		{"instance_alone_with_server", func(w *World, at *instance, s identifier.ServerName) { w.aloneWith(at, s) }},
		{"instance_cut_from_servers", func(w *World, at *instance, _ identifier.ServerName) { w.cutFromServers(at) }},
		{"answers_of_server_lost", func(w *World, at *instance, s identifier.ServerName) { w.loseAnswers(at, s) }},
		{"log_down", func(w *World, _ *instance, _ identifier.ServerName) { w.outage(breakTime) }},
		{"log_slow", func(w *World, _ *instance, _ identifier.ServerName) { w.slowLog(breakTime) }},
		{"append_lost", func(_ *World, at *instance, _ identifier.ServerName) { at.lose++ }},
		{"append_repeated", func(_ *World, at *instance, _ identifier.ServerName) { at.repeat = 2 }},
		{"append_late", func(w *World, at *instance, _ identifier.ServerName) { w.delayAppends(at) }},
		{"records_expired", func(w *World, _ *instance, _ identifier.ServerName) { w.log.expire(w.newestSnapshot()) }},
		{"server_killed", func(w *World, _ *instance, s identifier.ServerName) { w.servers[s].dead = true }},
		{"server_frozen", func(w *World, _ *instance, s identifier.ServerName) { w.servers[s].halt(breakTime) }},
		{"server_stops_checking", func(w *World, _ *instance, s identifier.ServerName) { w.servers[s].checks = false }},
		{"clock_fast", func(_ *World, at *instance, _ identifier.ServerName) { at.skewBy(0.009) }},
		{"clock_slow", func(_ *World, at *instance, _ identifier.ServerName) { at.skewBy(-0.009) }},
		{"competing_bundles", func(w *World, _ *instance, _ identifier.ServerName) { w.Compete() }},
	}
}

func (w *World) cutFromPeers(at *instance) {
	for _, other := range w.instances {
		if other != at {
			w.cutFor(at.name, other.name, breakTime)
		}
	}
}

// cutOff leaves the instance its servers and nothing else.
func (w *World) cutOff(at *instance) {
	w.cutFromPeers(at)
	w.cutFor(at.name, "log", breakTime)
}

// aloneWith cuts the instance off, and leaves the server to it alone.
func (w *World) aloneWith(at *instance, server identifier.ServerName) {
	w.cutOff(at)
	for _, other := range w.instances {
		if other != at {
			w.cutFor(other.name, string(server), breakTime)
		}
	}
}

func (w *World) cutFromServers(at *instance) {
	for _, name := range w.names {
		w.cutFor(at.name, string(name), breakTime)
	}
}

// loseAnswers lets what the instance sends to a server take effect, and loses the answers.
func (w *World) loseAnswers(at *instance, server identifier.ServerName) {
	w.cut(string(server), at.name, true)
	w.after(breakTime, func() { w.cut(string(server), at.name, false) })
}

func (w *World) slowLog(d time.Duration) {
	w.log.slow = 20 * logTime
	w.after(d, func() { w.log.slow = 0 })
}

func (w *World) delayAppends(at *instance) {
	at.delayed = lateTime
	w.after(logTime, func() { at.delayed = 0 })
}

// newestSnapshot returns the offset from which the log still gives the state back.
func (w *World) newestSnapshot() int {
	st := w.fold()
	return int(st.SnapshotAt())
}

// skewBy changes the speed of the instance's clock from now on.
func (i *instance) skewBy(skew float64) {
	i.ahead = i.clock().Sub(i.world.now)
	i.born = i.world.now
	i.skew = skew
}
