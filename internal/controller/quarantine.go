package controller

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/internal/quarantiner"
)

// quarantineReportDelay is how soon the leader hears of a server that has ended under a request. Those that end within it share
// a report.
const quarantineReportDelay = 100 * time.Millisecond

// quarantineChanged records that this instance has learned from a server about a request that crashes servers.
func (c *Controller) quarantineChanged(now time.Time, f quarantiner.Fingerprint) {
	if l := c.leaderState; l != nil {
		l.quarantine.record(f)
		l.unpublished = true
	} else {
		c.quarantineReports.changed(f)
		c.reportWithin(now, quarantineReportDelay)
	}
	if c.unspread == nil {
		c.unspread = map[quarantiner.Fingerprint]bool{}
	}
	c.unspread[f] = true
}

// stepCatchup tells the Forwarder whether this instance has heard since its start of the crashes that others have noticed.
func (c *Controller) stepCatchup(now time.Time) {
	forwarderNow := time.Now()
	c.options.Forwarder.StepCatchup(forwarderNow, c.reportSilence(forwarderNow), c.leadingTime(now))
}

// reportSilence returns how long ago the last report was sent that a leader has answered. Only such an answer has all that this
// instance lacks: a publication has what the leader's previous one lacked, which may have gone to an earlier incarnation. The answer
// may be older than its arrival if this instance was suspended meanwhile. now is a time of time.Now.
func (c *Controller) reportSilence(now time.Time) time.Duration { return now.Sub(c.answeredReport) }

// leadingTime returns for how long this instance has led, or 0 if it does not.
func (c *Controller) leadingTime(now time.Time) time.Duration {
	if c.leaderState == nil {
		return 0
	}
	return max(1, now.Sub(c.leaderState.since))
}

// spreadCrashRecords passes on what this instance has learned to a few others if it has no contact to a leader.
func (c *Controller) spreadCrashRecords(now time.Time) {
	if len(c.unspread) == 0 {
		return
	}
	if !quarantiner.ShouldSpread(now.Sub(c.lastContact)) {
		if c.leaderState != nil || len(c.quarantineReports.unreported)+len(c.quarantineReports.reported) == 0 {
			clear(c.unspread) // the leader knows it
		}
		return
	}
	request := &herald.PublishRequest{SpreadRecords: c.encodeCrashRecords(slices.Sorted(maps.Keys(c.unspread)))}
	clear(c.unspread)
	for _, i := range rand.Perm(len(c.members))[:min(quarantiner.SpreadFanOut, len(c.members))] {
		peer := c.peers.get(c.members[i].Address)
		instance := c.members[i].Instance
		go func() {
			ctx, cancel := context.WithTimeout(c.context, peerCallTimeout)
			defer cancel()
			if _, err := peer.Publish(ctx, request); err != nil {
				klog.InfoS("passing on crashes without a leader failed", "instance", instance, "error", err)
			}
		}()
	}
}

// receiveSpreadRecords adds what an instance without a leader has passed on, and passes on what is new in turn.
func (c *Controller) receiveSpreadRecords(now time.Time, records []*herald.CrashRecord) {
	for _, f := range c.mergeCrashRecords(records) {
		c.quarantineChanged(now, f)
	}
}

// reportWithin makes the next report due after a delay at the latest.
func (c *Controller) reportWithin(now time.Time, delay time.Duration) {
	if due := now.Add(delay - c.reportInterval()); c.lastReport.After(due) {
		c.lastReport = due
	}
}

// encodeCrashRecords returns the message form of what is known about requests. The Forwarder's times are of time.Now.
func (c *Controller) encodeCrashRecords(fingerprints []quarantiner.Fingerprint) []*herald.CrashRecord {
	now := time.Now()
	var list []*herald.CrashRecord
	for _, f := range fingerprints {
		record, ok := c.options.Forwarder.QuarantineRecord(f)
		if !ok {
			continue
		}
		m := &herald.CrashRecord{Fingerprint: uint64(f), Name: record.Name, Answered: !record.ClearedAt.IsZero()}
		if m.Answered {
			m.AnswerAgeMs = ageMS(now, record.ClearedAt)
		}
		for crash, sighting := range record.Crashes {
			m.Crashes = append(m.Crashes, &herald.Crash{
				Server: crash.Server, Incarnation: crash.Incarnation, AgeMs: ageMS(now, sighting.At), Alone: sighting.Alone,
			})
		}
		list = append(list, m)
	}
	return list
}

// ageMS returns how long before now a time was, in milliseconds.
func ageMS(now, at time.Time) uint32 { return uint32(max(0, now.Sub(at)).Milliseconds()) }

// before returns the time that was ageMS milliseconds before now.
func before(now time.Time, ageMS uint32) time.Time {
	return now.Add(-time.Duration(ageMS) * time.Millisecond)
}

// mergeCrashRecords adds the records of a message to what is known, and returns the requests about which any of it is new.
func (c *Controller) mergeCrashRecords(records []*herald.CrashRecord) []quarantiner.Fingerprint {
	now := time.Now()
	var changed []quarantiner.Fingerprint
	for _, m := range records {
		record := quarantiner.Record{
			Fingerprint: quarantiner.Fingerprint(m.GetFingerprint()), Name: m.GetName(), Crashes: map[quarantiner.Crash]quarantiner.Sighting{},
		}
		if m.GetAnswered() {
			record.ClearedAt = before(now, m.GetAnswerAgeMs())
		}
		for _, crash := range m.GetCrashes() {
			id := quarantiner.Crash{Server: crash.GetServer(), Incarnation: crash.GetIncarnation()}
			record.Crashes[id] = quarantiner.Sighting{At: before(now, crash.GetAgeMs()), Alone: crash.GetAlone()}
		}
		if c.options.Forwarder.MergeQuarantine(now, record) {
			changed = append(changed, record.Fingerprint)
		}
	}
	return changed
}

// crashRecordsFor returns the records that an instance with the given version lacks, or nil.
func (c *Controller) crashRecordsFor(version changeVersion) *herald.CrashRecords {
	fingerprints, changed := c.leaderState.quarantine.since(c.elector.Term(), version)
	if !changed {
		return nil
	}
	return &herald.CrashRecords{
		Term: c.elector.Term(), Version: c.leaderState.quarantine.last, Records: c.encodeCrashRecords(fingerprints),
	}
}

// applyCrashRecords adds the records that the leader has sent.
func (c *Controller) applyCrashRecords(list *herald.CrashRecords) {
	if list == nil || c.leaderState != nil || list.GetTerm() < c.quarantineReports.version.term {
		return
	}
	c.mergeCrashRecords(list.GetRecords())
	c.quarantineReports.received(changeVersion{term: list.GetTerm(), number: list.GetVersion()})
}

// observeCrashReports adds the records of a report to what this leader passes on.
func (c *Controller) observeCrashReports(records []*herald.CrashRecord) {
	l := c.leaderState
	for _, f := range c.mergeCrashRecords(records) {
		l.quarantine.record(f)
		l.unpublished = true
	}
	l.quarantine.retain(func(f quarantiner.Fingerprint) bool {
		_, known := c.options.Forwarder.QuarantineRecord(f)
		return known
	})
}

// handOverQuarantine passes all known records to the state of a new leader.
func (c *Controller) handOverQuarantine(l *leaderState) {
	for _, f := range c.options.Forwarder.QuarantinedRequests() {
		l.quarantine.record(f)
	}
	c.quarantineReports.unreported, c.quarantineReports.reported = nil, nil
}
