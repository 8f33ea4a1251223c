package controller

import (
	"fmt"

	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/internal/reducer"
	"github.com/wasabibank/wasabibank/internal/tracer"
)

// noteAccepted puts an accepted record on the time line.
func (c *Controller) noteAccepted(v reducer.Accepted) {
	author := string(v.Envelope.Author())
	note := Note{Offset: v.Offset, Subject: author, Detail: "by " + author}
	switch r := v.Envelope.Record().(type) {
	case recorder.PublishBundle:
		b := c.state.Bundle()
		note.Kind = tracer.KindBundleAccepted
		note.Subject = fmt.Sprintf("version %d", b.Version())
		note.Detail = fmt.Sprintf("by %s, approved by %s", b.Author(), b.Approver())
	case recorder.Join:
		note.Kind = tracer.KindInstanceJoined
	case recorder.Leave:
		note.Kind = tracer.KindInstanceLeft
	case recorder.Expel:
		note.Kind = tracer.KindInstanceExpelled
		note.Subject = string(r.Instance)
	case recorder.Release:
		note.Kind = tracer.KindPledgeReleased
		note.Subject = string(r.Instance)
	case recorder.SetWitnesses:
		note.Kind = tracer.KindWitnessesSet
	case recorder.ClaimFronts:
		note.Kind = tracer.KindFrontTaken
		note.Detail = fmt.Sprintf("%d servers", len(r.Claims))
	case recorder.HandFronts:
		note.Kind = tracer.KindFrontHanded
		note.Detail = fmt.Sprintf("%s to %s", r.Hands[0].Server, r.Hands[0].To)
	case recorder.Assign:
		note.Kind = tracer.KindPartitionsAssigned
		note.Subject = string(r.Service)
		note.Detail = fmt.Sprintf("%d partitions", len(r.Moves))
	case recorder.Reassign:
		note.Kind = tracer.KindMoveDone
		note.Subject = string(r.Service)
		note.Detail = fmt.Sprintf("%d partitions away from %s", len(r.Moves), r.From)
	case recorder.MeetServer:
		note.Kind = tracer.KindServerMet
		note.Subject = string(r.Server)
		note.Detail = fmt.Sprintf("checks: %t", r.Checks)
	case recorder.Pin:
		note.Kind = tracer.KindKeyPinned
		note.Subject = string(r.Service)
	case recorder.Unpin:
		note.Kind = tracer.KindKeyUnpinned
		note.Subject = string(r.Service)
	case recorder.Snapshot:
		note.Kind = tracer.KindSnapshotWritten
		note.Detail = fmt.Sprintf("as of %d, part %d of %d", r.AsOf, r.Part+1, r.Parts)
	}
	c.do(note)
}

// noteRefused puts a refused record on the time line.
func (c *Controller) noteRefused(v reducer.Refused) {
	note := Note{
		Kind:    tracer.KindRecordRefused,
		Offset:  v.Offset,
		Subject: string(v.Envelope.Author()),
		Detail:  fmt.Sprintf("%s: %s", v.Reason, v.Detail),
	}
	if _, ok := v.Envelope.Record().(recorder.PublishBundle); ok {
		note.Kind = tracer.KindBundleRefused
	}
	c.do(note)
}
