package controller

import (
	"fmt"
	"time"

	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/internal/reducer"
	"github.com/wasabibank/wasabibank/internal/tracer"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// relayLimit is how many of the newest records an instance keeps for peers that lag.
const relayLimit = 512

// readFrom returns the offset of the record that the instance needs next.
func (c *Controller) readFrom() identifier.Offset {
	if c.loaded {
		return c.state.Next()
	}
	if n := len(c.backlog); n > 0 {
		return c.backlog[n-1].Offset + 1
	}
	return c.state.Next()
}

func (c *Controller) onLogRead(now time.Time, e LogRead) {
	if c.loaded {
		c.foldAll(now, e.Entries)
	} else {
		c.backlog = append(c.backlog, e.Entries...)
	}
	if c.readFrom() >= e.Next {
		c.reachTail(now, e.Start)
	}
	c.do(ReadLog{From: c.readFrom()})
}

// reachTail notes that every record of the log up to a read's start has been read.
func (c *Controller) reachTail(now, readStart time.Time) {
	if !c.loaded && !c.load(now) {
		return
	}
	c.lease.Renew(readStart, c.timings().RoutingLease)
}

// load folds the backlog; it fails when the log has lost the state.
func (c *Controller) load(now time.Time) bool {
	state, err := reducer.Load(c.opts.Genesis, c.backlog)
	if err != nil {
		if !c.lost {
			c.note(tracer.KindLogGap, "log", err.Error())
		}
		c.lost = true
		return false
	}
	c.lost = false
	c.state = state
	c.owners = nil
	c.keepForRelay(c.backlog)
	c.backlog = nil
	c.loaded = true
	c.loadedAt = now
	c.rosterSince = now
	c.snapshotTime = now
	for _, m := range state.Members() {
		c.meetMember(now, m)
		if m.Expelled {
			c.expelSeen[m.ID] = now
		}
	}
	c.note(tracer.KindSnapshotLoaded, "log", fmt.Sprintf("next offset %d", state.Next()))
	c.publishView()
	return true
}

// onLogExpired starts over from the records that the log still has: what lies between is unknown.
func (c *Controller) onLogExpired(e LogExpired) {
	if c.loaded {
		c.loaded = false
		c.lease.Forget()
		c.note(tracer.KindLogGap, "log", "records expired before they were read")
		c.closeAll()
		c.beginGeneration()
	}
	c.state = reducer.NewState(c.opts.Genesis)
	c.owners = nil
	c.backlog = nil
	c.relay = nil
	c.do(ReadLog{From: e.FirstRetained})
}

// foldAll folds entries that continue the state, from the log or from a peer.
func (c *Controller) foldAll(now time.Time, entries []reducer.Entry) {
	folded := false
	for _, entry := range entries {
		verdict, err := c.state.Apply(entry.Offset, entry.Data)
		if err != nil {
			break
		}
		if verdict == nil {
			continue
		}
		folded = true
		c.owners = nil
		c.planFrontsAt = time.Time{}
		c.keepForRelay([]reducer.Entry{entry})
		c.onVerdict(now, verdict)
	}
	if folded {
		c.publishView()
	}
}

func (c *Controller) keepForRelay(entries []reducer.Entry) {
	c.relay = append(c.relay, entries...)
	if extra := len(c.relay) - relayLimit; extra > 0 {
		c.relay = append([]reducer.Entry(nil), c.relay[extra:]...)
	}
}

func (c *Controller) onVerdict(now time.Time, verdict reducer.Verdict) {
	switch v := verdict.(type) {
	case reducer.Accepted:
		c.settleProposal(v.Envelope.ID())
		c.onAccepted(now, v)
		c.noteAccepted(v)
	case reducer.Refused:
		c.settleProposal(v.Envelope.ID())
		c.noteRefused(v)
	}
}

// onAccepted notes when this instance learnt of a change that waits are counted from.
func (c *Controller) onAccepted(now time.Time, v reducer.Accepted) {
	switch r := v.Envelope.Record().(type) {
	case recorder.Join:
		c.rosterSince = now
		if m, ok := c.state.GetMemberByID(v.Envelope.Author()); ok {
			c.meetMember(now, m)
		}
	case recorder.Leave:
		c.onGone(now, v.Envelope.Author())
	case recorder.Expel:
		c.onExpel(now, r.Instance)
	case recorder.Release:
		if _, ok := c.state.GetMemberByID(r.Instance); !ok {
			c.onGone(now, r.Instance)
		}
	case recorder.PublishBundle:
		for _, id := range c.state.Bundle().RetiredInstances() {
			c.onGone(now, id)
		}
	case recorder.Assign, recorder.Reassign, recorder.Pin, recorder.Unpin:
		c.ownerChanges++
	case recorder.Snapshot:
		if c.state.SnapshotAt() == r.AsOf {
			c.snapshotTime = now
		}
	}
}
