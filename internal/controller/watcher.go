package controller

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/timekeeper"
	"github.com/wasabibank/wasabibank/platform"
)

// MaxConfigDelay is the time within which the timings of reads let all instances apply a new configuration.
const MaxConfigDelay = 2 * time.Second

// The timings of reading topics.
const (
	// readWait is how long a read waits for new records; the store allows 30 s. A store that fails silently loses such a
	// read without an error, so the read is interrupted when the leader has read more, or stops answering.
	readWait = 25 * time.Second
	// leaderReadWait replaces readWait on the leader, which has no other instance to compare itself with.
	leaderReadWait = time.Second
	// batchDelay is the pause after a read that returned records, so that the next call fetches several changes at once.
	batchDelay = 250 * time.Millisecond
	// relayWait is how long a read through a relay waits for new records, and relayMargin how much later its answer may
	// arrive. Together they bound the time until a stopped relay is noticed. An instance that reads the store itself,
	// although it has relays or the leader does not answer, waits for relayWait too, and then tries the relays again. A
	// cache that was read within relayWait is not refreshed.
	relayWait   = 600 * time.Millisecond
	relayMargin = 400 * time.Millisecond
	// refreshWait replaces relayWait for a read that makes the relay refresh its cache first, because records may be
	// missing. It is longer than batchDelay, so that a relay that has just read gets them with its own next read.
	refreshWait = 300 * time.Millisecond
	// leaderOffsetsMargin is how much later than due the leader's answer to a report may arrive before its offsets become
	// invalid.
	leaderOffsetsMargin = 300 * time.Millisecond
	// slowCallTime is the duration of a leader's call to the store from which on its offsets are not valid, so that relays
	// refresh their caches before they answer. The store answers in 4 ms in normal operation, and in 250 ms when it is slow.
	slowCallTime = 300 * time.Millisecond
	// relayRetryDelay is how long a relay is skipped after a failed read through it.
	relayRetryDelay = 3 * time.Second
	// readRetryDelay is the pause after a failed read, doubled up to maxReadRetryDelay. One poll of the store, one read
	// through another instance and the pause take 1.6 s, less than the 2 s within which a configuration has to be applied
	// (MaxConfigDelay).
	// maxReadRetryDelay is also the pause after a read through another instance, and how long after a failed call to the
	// store reads of the other topic and reads for other instances fail without a call.
	readRetryDelay    = 100 * time.Millisecond
	maxReadRetryDelay = 400 * time.Millisecond
	// maxPollInterval bounds the time between two polls of the store by an instance whose relays can't reach it either.
	maxPollInterval = 4 * time.Second
	// fallbackInterval is the time between two rounds of reads through other instances while this domain can't reach the
	// store. With the pauses after failed reads and one call it stays below the 2 s within which a configuration has to be
	// applied.
	fallbackInterval = 600 * time.Millisecond
	// fallbackReads is the number of instances asked at a time, as some may not reach it either, or not be reached themselves.
	fallbackReads = 3
)

// watcher is the state of reading one topic.
type watcher struct {
	topic            string
	next             platform.Position // after the last record that was read
	minEra           uint64            // era of the store that its last answer had, if that is later than next.Era
	loaded           bool              // the topic was read at least once
	full             bool              // the next read returns all records, not changes
	storeUnreachable bool              // neither this instance nor those it asked could reach the store
	retryDelay       time.Duration
	otherReads       int // rounds of reads through other instances so far; selects the next of them
	// skippedUntil holds the relays that failed to answer, and until when they are skipped, by time.Now.
	skippedUntil map[string]time.Time
	// nextPoll is when the store itself is polled next, while the relays can't reach it either; nextFallback is when other
	// instances are asked next. Both are by timekeeper.Now.
	nextPoll, nextFallback time.Time
	lastRead               time.Time // when a read last succeeded, by timekeeper.Now; the zero Time before the first one
}

// topicRead is what a read of a topic has returned.
type topicRead struct {
	records  []platform.Record
	full     bool // records are all there are
	restored bool // the store came back from an older copy, so that what was read before may be newer than records
	// missed is the time between the read before and the beginning of this one, in which other reads failed: records may be that old.
	missed time.Duration
}

// watchTopic reads all records of a topic, then its changes, until ctx ends. apply runs in the control loop. While the store
// does not answer, it reads through other instances, which may reach it.
func (c *Controller) watchTopic(
	ctx context.Context, topic string, apply func(now time.Time, read topicRead),
) {
	w := &watcher{topic: topic, full: true, retryDelay: readRetryDelay}
	for ctx.Err() == nil {
		asked := timekeeper.Now()
		records, next, err := c.readNext(ctx, w)
		switch {
		case platform.IsErrExpired(err):
			c.options.Meter.Count(meter.StoreGaps)
			w.full, w.minEra = true, max(w.minEra, next.Era)
			c.post(func(now time.Time) { c.elector.ObserveEra(now, next.Era) })
		case err != nil:
			if errors.Is(err, errStoreUnreachable) {
				c.markStoreUnreachable(w, err) // marked already, so this only renews lastUnreachable
			}
			c.options.Meter.Count(meter.StoreReadsFailed)
			sleep(ctx, w.retryDelay)
			w.retryDelay = min(2*w.retryDelay, maxReadRetryDelay)
		default:
			read := topicRead{records: records, full: w.full, restored: w.loaded && next.Era > w.next.Era}
			if w.loaded {
				read.missed = asked.Sub(w.lastRead)
			}
			w.next, w.full, w.loaded, w.lastRead = next, false, true, timekeeper.Now()
			if read.full || len(records) > 0 {
				c.post(func(now time.Time) {
					c.elector.ObserveEra(now, next.Era)
					apply(now, read)
				})
			}
			if w.storeUnreachable {
				sleep(ctx, maxReadRetryDelay) // read through another instance, which did not wait for new records
			} else if len(records) > 0 {
				sleep(ctx, batchDelay)
			}
		}
	}
}

// readNext reads the next records: through a relay if possible, else from the store. A relay refreshes its cache once for
// all instances that may have missed records or can't reach the store, so that these do not all call the store.
func (c *Controller) readNext(ctx context.Context, w *watcher) ([]platform.Record, platform.Position, error) {
	c.options.Meter.Count(meter.StoreReads)
	src := c.sources.Load()
	if src == nil {
		src = &sources{}
	}
	relayUnreachable := false
	asked := timekeeper.Now()
	for _, relay := range src.relays {
		records, next, err := c.readFromRelay(ctx, w, relay)
		if errors.Is(err, errReadInterrupted) && c.era.Load() > w.next.Era {
			// All instances learn of a new era at about the same time, and must not all call the store.
			records, next, err = c.readFromRelay(ctx, w, relay)
		}
		if err == nil || platform.IsErrExpired(err) {
			c.markStoreReachable(w)
			if src.seeds && err == nil {
				c.cache.add(w.topic, w.full, records, next, asked.Add(-relayWait)) // a relay's cache may be that old
			}
			return records, next, err
		}
		if !errors.Is(err, errStoreUnreachable) && !errors.Is(err, errRelaySkipped) {
			break // no time is left to try another relay
		}
		relayUnreachable = relayUnreachable || errors.Is(err, errStoreUnreachable)
	}
	now := timekeeper.Now()
	if relayUnreachable && w.storeUnreachable && now.Before(w.nextPoll) {
		return c.readFallback(ctx, w, src, now)
	}
	w.nextPoll = now.Add(pollInterval(src.domainSize))
	return c.readFromStore(ctx, w, src)
}

// pollInterval returns the time between two polls of the store by an instance whose relays can't reach it either. It
// grows with the domain up to maxPollInterval, so that the instances of a domain together poll as often as one relay
// does; only those of larger domains poll more often.
func pollInterval(domainSize int) time.Duration {
	return min(time.Duration(domainSize)*maxReadRetryDelay, maxPollInterval)
}

var (
	// errRelaySkipped says that a relay is skipped because it recently failed to answer.
	errRelaySkipped = errors.New("relay skipped after a recent failure")
	// errReadInterrupted says that interruptReads has ended the wait for new records.
	errReadInterrupted = errors.New("read interrupted")
)

// readFromRelay reads through a relay, and skips it for relayRetryDelay after a failure.
func (c *Controller) readFromRelay(
	ctx context.Context, w *watcher, relay string,
) ([]platform.Record, platform.Position, error) {
	if time.Now().Before(w.skippedUntil[relay]) {
		return nil, w.next, errRelaySkipped
	}
	era := c.era.Load()
	offsets := c.leaderOffsets.Load()
	valid := offsets.valid(timekeeper.Now()) && w.next.Era == era
	behind := valid && offsets.ahead(w.topic, w.next)
	// Look makes the relay refresh its cache before it answers.
	request := &herald.FetchRequest{
		Topic: w.topic, From: w.next.Offset, Era: w.next.Era, Whole: w.full, Look: !valid || behind || w.storeUnreachable,
	}
	if w.full {
		request.Era = max(era, w.minEra, w.next.Era)
	}
	wait, timeout := relayWait, relayMargin
	switch {
	case w.storeUnreachable || w.full:
		wait = 0
	case request.GetLook():
		wait = refreshWait
	}
	if request.GetLook() || w.full {
		timeout += platform.PollTimeout
	}
	request.WaitMs = uint32(wait.Milliseconds())
	readCtx, cancel := c.interruptible(ctx)
	defer cancel()
	records, next, err := c.fetchFrom(readCtx, relay, request, wait+timeout)
	switch {
	case ctx.Err() != nil:
		return nil, w.next, ctx.Err()
	case readCtx.Err() != nil:
		return nil, w.next, errReadInterrupted
	case err == nil && behind && next == w.next:
		err = errors.New("relay has fewer records than the leader")
	case err == nil || errors.Is(err, errStoreUnreachable) || platform.IsErrExpired(err):
		return records, next, err
	}
	klog.InfoS("reading through a relay failed", "topic", w.topic, "reader", relay, "from", w.next.Offset, "era", w.next.Era,
		"error", err)
	if w.skippedUntil == nil {
		w.skippedUntil = map[string]time.Time{}
	}
	w.skippedUntil[relay] = time.Now().Add(relayRetryDelay)
	return nil, w.next, err
}

// readFromStore reads from the store and, if that fails, through any other instance.
func (c *Controller) readFromStore(ctx context.Context, w *watcher, src *sources) ([]platform.Record, platform.Position, error) {
	wait := readWait
	switch {
	case w.storeUnreachable:
		wait = 0
	case c.leading.Load():
		wait = leaderReadWait
	case len(src.relays) > 0, !c.leaderOffsets.Load().valid(timekeeper.Now()):
		wait = relayWait // the relays may answer again, and so may the leader
	}
	asOf := timekeeper.Now()
	if w.storeUnreachable && c.cache.lastCallFailedAfter(asOf.Add(-maxReadRetryDelay)) {
		return nil, w.next, errStoreUnreachable // a read of the other topic has just failed
	}
	records, next, err := c.readInterruptible(ctx, w, wait)
	switch {
	case err == nil:
		c.markStoreReachable(w)
		if wait > 0 && len(records) == 0 {
			// The store had no new records when it answered. Unless it is slow, its answer took at most slowCallTime.
			asOf = timekeeper.Now().Add(-slowCallTime)
		}
		c.cache.add(w.topic, w.full, records, next, asOf)
		return records, next, nil
	case platform.IsErrExpired(err):
		c.markStoreReachable(w)
		return nil, next, err
	case ctx.Err() != nil:
		return nil, w.next, err // this instance is shutting down
	}
	c.cache.markUnreachable(w.topic, timekeeper.Now())
	c.markStoreUnreachable(w, err)
	return c.readFromOthers(ctx, w, src, err)
}

// markStoreUnreachable records that the store can't be reached.
func (c *Controller) markStoreUnreachable(w *watcher, err error) {
	if !w.storeUnreachable {
		klog.InfoS("store unreachable", "topic", w.topic, "error", err)
	}
	w.storeUnreachable = true
	c.post(func(now time.Time) { c.lastUnreachable[w.topic] = now })
}

// markStoreReachable records that the store can be reached, from here or through another instance.
func (c *Controller) markStoreReachable(w *watcher) {
	if w.storeUnreachable {
		klog.InfoS("store reachable again", "topic", w.topic)
		c.post(func(now time.Time) { c.lastUnreachable[w.topic] = now })
	}
	w.storeUnreachable, w.retryDelay = false, readRetryDelay
}

// readInterruptible reads from the store. If interruptReads ends the wait, it reads once more without waiting.
func (c *Controller) readInterruptible(
	ctx context.Context, w *watcher, wait time.Duration,
) ([]platform.Record, platform.Position, error) {
	readCtx, cancel := c.interruptible(ctx)
	defer cancel()
	records, next, err := c.callStore(readCtx, w.topic, w.next, w.full, wait)
	if err == nil || readCtx.Err() == nil || ctx.Err() != nil {
		return records, next, err
	}
	return c.callStore(ctx, w.topic, w.next, w.full, 0)
}

// interruptible returns a context that interruptReads cancels.
func (c *Controller) interruptible(ctx context.Context) (context.Context, context.CancelFunc) {
	readCtx, cancel := context.WithCancel(ctx)
	interrupt := *c.interrupt.Load()
	go func() {
		select {
		case <-interrupt:
			cancel()
		case <-readCtx.Done():
		}
	}()
	return readCtx, cancel
}

// interruptReads interrupts the reads that wait for new records.
func (c *Controller) interruptReads() {
	next := make(chan struct{})
	close(*c.interrupt.Swap(&next))
}

// interruptOutdatedReads interrupts waiting reads when this instance may have missed records: the leader no longer
// answers or, on the leader, the store is slow.
func (c *Controller) interruptOutdatedReads(now time.Time) {
	c.leading.Store(c.leaderState != nil)
	receivesChanges := c.leaderOffsets.Load().valid(now)
	if c.leaderState != nil {
		receivesChanges = c.elector.PendingCallTime(now) <= slowCallTime
	}
	if c.receivesChanges && !receivesChanges {
		c.interruptReads()
	}
	c.receivesChanges = receivesChanges
}

// checkLeaderOffsets interrupts waiting reads when the leader has read more of a topic than this instance in two answers
// in a row. After the first one, the records may still be on their way.
func (c *Controller) checkLeaderOffsets(leader *leaderOffsets) {
	if leader == nil {
		return
	}
	ownNext := c.cache.nextPositions()
	behind := map[string]bool{}
	for topic := range leader.offsets {
		if own, ok := ownNext[topic]; ok && leader.ahead(topic, own) {
			behind[topic] = true
		}
	}
	for topic := range behind {
		if c.behindTopics[topic] {
			klog.InfoS("leader has read more of a topic than this instance", "topic", topic,
				"here", ownNext[topic].Offset, "leader", leader.offsets[topic], "era", leader.era)
			c.interruptReads()
			behind = nil
			break
		}
	}
	c.behindTopics = behind
}

// callStore reads all records of a topic from the store, or those from a position on.
func (c *Controller) callStore(
	ctx context.Context, topic string, from platform.Position, full bool, wait time.Duration,
) ([]platform.Record, platform.Position, error) {
	if full {
		return c.options.Store.Newest(ctx, topic)
	}
	return c.options.Store.Changes(ctx, topic, from, wait)
}

// sleep pauses for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
