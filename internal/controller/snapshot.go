package controller

import (
	"strconv"
	"time"

	"github.com/wasabibank/wasabibank/internal/tracer"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// snapshotRecords is how many records may follow a snapshot before the next one is due.
const snapshotRecords = 20000

// proposeSnapshot writes the folded state to the log well inside its retention, so that a new instance can start.
func (c *Controller) proposeSnapshot(now time.Time) {
	const step = "snapshot"
	since := c.state.Next() - c.state.SnapshotAt()
	due := now.Sub(c.snapshotTime) >= c.timings().SnapshotEvery || since >= identifier.Offset(snapshotRecords)
	if !due || c.state.Bundle() == nil {
		c.done(step)
		return
	}
	if !c.myTurn(now, step) || c.pending(snapshotPurpose(0)) {
		return
	}
	records, err := c.state.SnapshotRecords()
	if err != nil {
		c.note(tracer.KindRecordRefused, step, err.Error())
		return
	}
	for part, record := range records {
		c.propose(now, snapshotPurpose(part), record)
	}
}

func snapshotPurpose(part int) string { return "snapshot/" + strconv.Itoa(part) }
