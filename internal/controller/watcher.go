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

// watcher is the state of reading one topic.
type watcher struct {
	topic            string
	nextOffset       int64
	full             bool // the next read returns all records, not changes
	storeUnreachable bool // neither this instance nor those it asked could reach the store
	retryDelay       time.Duration
	attempts         int
	// skippedUntil holds the relays that failed to answer, and until when they are skipped.
	skippedUntil map[string]time.Time
	// nextPoll is when the store itself is polled next, while the relays can't reach it either; nextFallback is when other
	// instances are asked next.
	nextPoll, nextFallback time.Time
}

// watch reads all records of a topic, then its changes, until ctx ends. apply runs in the control loop; full says that
// records are all there are. While the store does not answer, it reads through other instances, which may reach it.
func (c *Controller) watch(
	ctx context.Context, topic string, apply func(now time.Time, full bool, records []platform.Record),
) {
	w := &watcher{topic: topic, full: true, retryDelay: readRetryDelay}
	for ctx.Err() == nil {
		records, next, err := c.readNext(ctx, w)
		switch {
		case platform.IsErrExpired(err):
			c.options.Meter.Count(meter.StoreGaps)
			w.full = true
		case err != nil:
			if errors.Is(err, errStoreUnreachable) {
				c.markStoreUnreachable(w, err)
			}
			c.options.Meter.Count(meter.StoreReadsFailed)
			sleep(ctx, w.retryDelay)
			w.retryDelay = min(2*w.retryDelay, maxReadRetryDelay)
		default:
			full := w.full
			w.nextOffset, w.full = next, false
			if full || len(records) > 0 {
				c.post(func(now time.Time) { apply(now, full, records) })
			}
			if w.storeUnreachable {
				sleep(ctx, maxReadRetryDelay)
			} else if len(records) > 0 {
				sleep(ctx, batchDelay)
			}
		}
	}
}

// sources are the instances through which topics can be read.
type sources struct {
	relays []string // addresses of the relays of this instance, in order of preference
	others []string // addresses of all other instances
	// domainSize is the number of instances in this failure domain.
	domainSize int
}

// readNext reads the next records: through a relay if possible, else from the store. A relay refreshes its cache once for
// all instances that may have missed records or can't reach the store, so that these do not all call the store.
func (c *Controller) readNext(ctx context.Context, w *watcher) ([]platform.Record, int64, error) {
	c.options.Meter.Count(meter.StoreReads)
	src := c.sources.Load()
	if src == nil {
		src = &sources{}
	}
	relayUnreachable := false
	if !w.full {
		for _, relay := range src.relays {
			records, next, err := c.readFromRelay(ctx, w, relay)
			if err == nil {
				c.markStoreReachable(w)
				return records, next, nil
			}
			if !errors.Is(err, errStoreUnreachable) && !errors.Is(err, errRelaySkipped) {
				break // no time is left to try another relay
			}
			relayUnreachable = relayUnreachable || errors.Is(err, errStoreUnreachable)
		}
	}
	now := timekeeper.Now()
	if relayUnreachable && w.storeUnreachable && now.Before(w.nextPoll) {
		return c.readFallback(ctx, w, src, now)
	}
	w.nextPoll = now.Add(pollInterval(src.domainSize))
	return c.readFromStore(ctx, w, src)
}

// pollInterval returns the time between two polls of the store by an instance whose relays can't reach it either. It
// grows with the domain, so that all its instances together poll as often as one relay does.
func pollInterval(domainSize int) time.Duration {
	return min(time.Duration(domainSize)*maxReadRetryDelay, maxPollInterval)
}

// errRelaySkipped says that a relay is skipped because it recently failed to answer.
var errRelaySkipped = errors.New("relay skipped after a recent failure")

// readFromRelay reads through a relay, and skips it for relayRetryDelay after a failure.
func (c *Controller) readFromRelay(ctx context.Context, w *watcher, relay string) ([]platform.Record, int64, error) {
	if time.Now().Before(w.skippedUntil[relay]) {
		return nil, w.nextOffset, errRelaySkipped
	}
	offsets := c.leaderOffsets.Load()
	valid := offsets.valid(timekeeper.Now())
	behind := valid && offsets.ahead(w.topic, w.nextOffset)
	// Look makes the relay refresh its cache.
	request := &herald.FetchRequest{Topic: w.topic, From: w.nextOffset, Look: !valid || behind || w.storeUnreachable}
	wait, timeout := relayWait, relayMargin
	switch {
	case behind || w.storeUnreachable:
		wait = 0
	case request.GetLook():
		wait = refreshWait
	}
	if request.GetLook() {
		timeout += platform.PollTimeout
	}
	request.WaitMs = uint32(wait.Milliseconds())
	readCtx, cancel := c.interruptible(ctx)
	defer cancel()
	records, next, err := c.fetchFrom(readCtx, relay, request, wait+timeout)
	switch {
	case readCtx.Err() != nil:
		return nil, w.nextOffset, readCtx.Err()
	case err == nil && behind && len(records) == 0:
		err = errors.New("relay has fewer records than the leader")
	case err == nil || errors.Is(err, errStoreUnreachable):
		return records, next, err
	}
	klog.InfoS("reading through a relay failed", "topic", w.topic, "reader", relay, "from", w.nextOffset, "error", err)
	if w.skippedUntil == nil {
		w.skippedUntil = map[string]time.Time{}
	}
	w.skippedUntil[relay] = time.Now().Add(relayRetryDelay)
	return nil, w.nextOffset, err
}

// readFromStore reads from the store and, if that fails, through any other instance.
func (c *Controller) readFromStore(ctx context.Context, w *watcher, src *sources) ([]platform.Record, int64, error) {
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
	if w.storeUnreachable && c.cache.failedSince(asOf.Add(-maxReadRetryDelay)) {
		return nil, w.nextOffset, errStoreUnreachable // a read of the other topic has just failed
	}
	records, next, err := c.readInterruptible(ctx, w, wait)
	switch {
	case err == nil:
		c.markStoreReachable(w)
		if wait > 0 && len(records) == 0 {
			asOf = timekeeper.Now().Add(-slowCallTime) // the store returned nothing until then
		}
		c.cache.add(w.topic, w.full, records, next, asOf)
		return records, next, nil
	case platform.IsErrExpired(err):
		c.markStoreReachable(w)
		return nil, w.nextOffset, err
	case ctx.Err() != nil:
		return nil, w.nextOffset, err // this instance is shutting down
	}
	c.cache.markUnreachable(w.topic, timekeeper.Now())
	c.markStoreUnreachable(w, err)
	return c.readFromOther(ctx, w, src, err)
}

// readFromOther reads through another instance, a different one each time, after the store itself failed with err.
func (c *Controller) readFromOther(
	ctx context.Context, w *watcher, src *sources, err error,
) ([]platform.Record, int64, error) {
	if len(src.others) == 0 {
		return nil, w.nextOffset, err
	}
	w.attempts++
	return c.fetchFrom(ctx, src.others[w.attempts%len(src.others)], &herald.FetchRequest{
		Topic: w.topic, From: w.nextOffset, Whole: w.full, Look: true,
	}, peerCallTimeout)
}

// readFallback reads through other instances, which may reach the store, while the relays of this domain can't.
func (c *Controller) readFallback(
	ctx context.Context, w *watcher, src *sources, now time.Time,
) (records []platform.Record, next int64, err error) {
	if now.Before(w.nextFallback) {
		return nil, w.nextOffset, errStoreUnreachable
	}
	w.nextFallback = now.Add(fallbackInterval)
	for range fallbackAttempts {
		records, next, err = c.readFromOther(ctx, w, src, errStoreUnreachable)
		if !errors.Is(err, errStoreUnreachable) {
			break
		}
	}
	return records, next, err
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
) ([]platform.Record, int64, error) {
	readCtx, cancel := c.interruptible(ctx)
	defer cancel()
	records, next, err := c.callStore(readCtx, w.topic, w.nextOffset, w.full, wait)
	if err == nil || readCtx.Err() == nil || ctx.Err() != nil {
		return records, next, err
	}
	return c.callStore(ctx, w.topic, w.nextOffset, w.full, 0)
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

// checkLeaderOffsets interrupts waiting reads when the leader has read more of a topic than this instance twice in a row.
func (c *Controller) checkLeaderOffsets(leaderNext map[string]int64) {
	ownNext := c.cache.nextOffsets()
	behind := map[string]bool{}
	for topic, leader := range leaderNext {
		if own, ok := ownNext[topic]; ok && own < leader {
			behind[topic] = true
		}
	}
	for topic := range behind {
		if c.behindTopics[topic] {
			klog.InfoS("leader has read more than this instance", "topic", topic,
				"here", ownNext[topic], "leader", leaderNext[topic])
			c.interruptReads()
			behind = nil
			break
		}
	}
	c.behindTopics = behind
}

func (c *Controller) callStore(
	ctx context.Context, topic string, offset int64, full bool, wait time.Duration,
) ([]platform.Record, int64, error) {
	if full {
		return c.options.Store.Newest(ctx, topic)
	}
	return c.options.Store.Changes(ctx, topic, offset, wait)
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
