package controller

import (
	"fmt"
	"sort"
	"time"

	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/internal/tracer"
	"github.com/wasabibank/wasabibank/pkg/hasher"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// repeatAfter is how long a record that was not read back waits before it is appended again.
const repeatAfter = time.Second

// proposal is a record that was appended and not read back yet. It is repeated byte for byte: the fold refuses the
// second of two equal records, so an append whose answer was lost does no harm.
type proposal struct {
	id     identifier.RecordID
	record recorder.Record
	data   []byte
	sentAt time.Time
}

// propose appends record unless a record for the same purpose is under way.
func (c *Controller) propose(now time.Time, purpose string, record recorder.Record) {
	if _, ok := c.proposals[purpose]; ok {
		return
	}
	c.sequence++
	id := identifier.RecordID(fmt.Sprintf("%s/%d", c.id, c.sequence))
	data, err := recorder.Encode(recorder.NewEnvelope(id, c.id, now, record))
	if err != nil {
		c.note(tracer.KindRecordRefused, purpose, err.Error())
		return
	}
	c.proposals[purpose] = &proposal{id: id, record: record, data: data, sentAt: now}
	c.do(AppendLog{Records: [][]byte{data}})
}

// pending reports whether a record for purpose is under way.
func (c *Controller) pending(purpose string) bool {
	_, ok := c.proposals[purpose]
	return ok
}

// settleProposal forgets the proposal that has been read back.
func (c *Controller) settleProposal(id identifier.RecordID) {
	for purpose, p := range c.proposals {
		if p.id == id {
			delete(c.proposals, purpose)
		}
	}
}

// repeatProposals appends again what was not read back in time.
func (c *Controller) repeatProposals(now time.Time) {
	var due []*proposal
	for _, p := range c.proposals {
		if now.Sub(p.sentAt) >= repeatAfter {
			due = append(due, p)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i].id < due[j].id })
	for _, p := range due {
		p.sentAt = now
		c.do(AppendLog{Records: [][]byte{p.data}})
	}
}

// myTurn reports whether this instance is to propose the step now. Every member ranks the members that it hears for
// the step; the first proposes at once and each next one a while later, if the step is still needed.
func (c *Controller) myTurn(now time.Time, step string) bool {
	since, ok := c.needs[step]
	if !ok {
		since = now
		c.needs[step] = now
	}
	wait := time.Duration(c.rank(now, step)) * 2 * c.timings().Heartbeat
	return now.Sub(since) >= wait
}

// done forgets since when a step has been needed.
func (c *Controller) done(step string) { delete(c.needs, step) }

// rank returns the place of this instance among the members that it hears, for the step.
func (c *Controller) rank(now time.Time, step string) int {
	own := hasher.Rank(step, string(c.id))
	rank := 0
	for _, id := range c.heard(now) {
		other := hasher.Rank(step, string(id))
		if other > own || other == own && id < c.id {
			rank++
		}
	}
	return rank
}
