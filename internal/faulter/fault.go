package faulter

import (
	"time"

	"github.com/wasabibank/wasabibank/internal/controller"
	"github.com/wasabibank/wasabibank/internal/tracer"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// Fault strikes when an instance takes a step for the n-th time.
type Fault struct {
	Step  Step
	Skip  int
	Break Break
	fired bool
	// strike tells when and where the fault struck.
	strike strike
}

// strike is one use of a Break: after a time from the start, at the instance of that number, for a server.
type strike struct {
	after    time.Duration
	instance int
	subject  identifier.ServerName
}

// Step is a step of one of the paths: the kind of a record about to be appended, or another action.
type Step string

// The steps that are not records.
const (
	StepGrant    Step = "grant"
	StepRevoke   Step = "revoke"
	StepExchange Step = "exchange"
	StepRead     Step = "read"
	StepLoaded   Step = "state_loaded"
	// StepWrite lies between the gate and the first byte of a request.
	StepWrite Step = "write"
)

// Break does the damage; subject is the server concerned, or "".
type Break func(w *World, at *instance, subject identifier.ServerName)

// Inject adds a fault.
func (w *World) Inject(f *Fault) { w.faults = append(w.faults, f) }

// watch strikes with the faults that wait for the action.
func (w *World) watch(i *instance, action controller.Action) {
	if len(w.faults) == 0 {
		return
	}
	if step, subject := stepOf(action); step != "" {
		w.strike(i, step, subject)
	}
}

// strike strikes with the faults that wait for the step.
func (w *World) strike(i *instance, step Step, subject identifier.ServerName) {
	for _, f := range w.faults {
		if f.fired || f.Step != step {
			continue
		}
		if f.Skip > 0 {
			f.Skip--
			continue
		}
		f.fired = true
		f.strike = strike{after: w.now.Sub(w.ledger.began), instance: i.number, subject: w.subjectFor(i, subject)}
		f.Break(w, i, f.strike.subject)
	}
}

// subjectFor returns the server that a fault concerns where the step names none: one that the instance fronts, or the
// first of all.
func (w *World) subjectFor(i *instance, subject identifier.ServerName) identifier.ServerName {
	if subject != "" {
		return subject
	}
	view := i.table.View()
	for _, name := range w.names {
		if view.GetFrontByServer(name).Instance() == view.Self() && view.Self() != "" {
			return name
		}
	}
	return w.names[0]
}

// repeatStrike does to this world what f did to another, at the same time and place.
func (w *World) repeatStrike(f *Fault) {
	w.after(f.strike.after-w.now.Sub(w.ledger.began), func() {
		at := w.instances[min(f.strike.instance, len(w.instances)-1)]
		f.Break(w, at, f.strike.subject)
	})
}

func stepOf(action controller.Action) (Step, identifier.ServerName) {
	switch a := action.(type) {
	case controller.AppendLog:
		return Step(kindOf(a)), ""
	case controller.SendGrant:
		return StepGrant, a.Server
	case controller.SendRevoke:
		return StepRevoke, a.Server
	case controller.ExchangePeer:
		return StepExchange, ""
	case controller.ReadLog:
		return StepRead, ""
	case controller.Note:
		if a.Kind == tracer.KindSnapshotLoaded {
			return StepLoaded, ""
		}
	}
	return "", ""
}

// cutFor breaks both directions between an instance and another party for d.
func (w *World) cutFor(a, b string, d time.Duration) {
	w.cut(a, b, true)
	w.cut(b, a, true)
	w.after(d, func() {
		w.cut(a, b, false)
		w.cut(b, a, false)
	})
}
