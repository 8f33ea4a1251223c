package controller

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/inquirer"
	"github.com/wasabibank/wasabibank/internal/meter"
)

// holderCheckInterval is the time between two checks which servers fail. It is short beside the time between two questions about one.
const holderCheckInterval = 50 * time.Millisecond

// endDelay is the time from the first answer in the name of another server until the next owner serves the keys: the second answer, the
// plan with the next owner and its grant. In trials with one server it was 0.6 s.
const endDelay = inquirer.AskInterval + 200*time.Millisecond

// askHolders asks who holds the addresses of the servers that fail, where this may show that they have ended.
func (c *Controller) askHolders(now time.Time) {
	l := c.leaderState
	if now.Sub(l.lastHolderCheck) < holderCheckInterval {
		return
	}
	l.lastHolderCheck = now
	c.updateSubjects(now)
	for _, q := range l.inquirer.Due(now) {
		path := c.healthPath(q)
		c.options.Meter.Count(meter.HolderQuestions)
		go func() {
			server, err := c.orders.AskHolder(c.context, time.Now(), q.Subject.Address, q.Subject.Server, path)
			c.post(func(now time.Time) { c.completeQuestion(now, l, q, server, err) })
		}()
	}
}

// updateSubjects passes the failing servers and the registrations to the inquirer. A server is left out if its address is not certain, or
// if this instance has not read the registration of the incarnation that may have leases.
func (c *Controller) updateSubjects(now time.Time) {
	l := c.leaderState
	failing := l.granter.FailingServers()
	if len(failing) == 0 && l.inquirer.Idle() {
		return
	}
	var subjects []inquirer.Subject
	for id, incarnation := range failing {
		if s, known := c.catalog.LastKnown(id); known && s.Incarnation >= incarnation && !c.catalog.Moved(id) {
			subjects = append(subjects, inquirer.Subject{Server: id, Incarnation: s.Incarnation, Address: s.Address})
		}
	}
	l.inquirer.SetSubjects(now, subjects, c.catalog.Servers())
}

// healthPath returns the path of the health check that a question asks for. The server that may hold the address knows that of its own
// service, if this is configured.
func (c *Controller) healthPath(q inquirer.Question) string {
	if s, ok := c.table.Service(q.Holder.Service); ok && s.HealthPath != "" {
		return s.HealthPath
	}
	subject, _ := c.catalog.LastKnown(q.Subject.Server)
	if s, ok := c.table.Service(subject.Service); ok && s.HealthPath != "" {
		return s.HealthPath
	}
	return "/"
}

// completeQuestion passes the answer to a question to the inquirer, and to the granter that a server has ended.
func (c *Controller) completeQuestion(now time.Time, l *leaderState, q inquirer.Question, server string, err error) {
	if c.leaderState != l {
		return
	}
	var answer inquirer.Answer = inquirer.Silent{}
	if err == nil {
		answer = inquirer.Named{Server: server}
	}
	c.updateSubjects(now) // the registrations may have changed since the question was sent
	outcome, evidenceFrom := l.inquirer.Complete(now, q, answer)
	c.options.Meter.Count(holderCounter(outcome))
	klog.InfoS("holder of address asked", "server", q.Subject.Server, "born", q.Subject.Incarnation, "address", q.Subject.Address,
		"holder", server, "outcome", outcome.String(), "error", err)
	switch outcome {
	case inquirer.Unanswered, inquirer.Alive:
		l.granter.ExpectEnd(q.Subject.Server, time.Time{})
		return
	case inquirer.Doubted:
		l.granter.ExpectEnd(q.Subject.Server, now.Add(endDelay))
		return
	case inquirer.Ended:
	}
	if freed := l.granter.ServerEnded(now, q.Subject.Server, q.Subject.Incarnation); freed > 0 {
		c.options.Meter.Count(meter.HoldersEnded)
		klog.InfoS("server has ended", "server", q.Subject.Server, "born", q.Subject.Incarnation, "address", q.Subject.Address,
			"holder", server, "evidence", now.Sub(evidenceFrom), "ranges", freed)
	}
}

// forgetInquiry ends the inquiry about a server that has accepted an order.
func (l *leaderState) forgetInquiry(server string) {
	l.inquirer.Forget(server)
	l.granter.ExpectEnd(server, time.Time{})
}

// holderCounter returns the counter of an outcome.
func holderCounter(o inquirer.Outcome) meter.Counter {
	switch o {
	case inquirer.Alive:
		return meter.HoldersAlive
	case inquirer.Doubted, inquirer.Ended:
		return meter.HoldersOther
	case inquirer.Unanswered:
	}
	return meter.HoldersUnknown
}
