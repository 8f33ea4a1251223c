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

// watcher is where the reading of a topic stands.
type watcher struct {
	name  string
	from  int64
	whole bool // what comes next are all records, not changes
	lost  bool // the store was not reached, neither from here nor through those that were asked
	pause time.Duration
	tries int
	// passed are the readers that did not answer, and until when they are not asked.
	passed map[string]time.Time
	// probe is when the store itself is asked next, while readers say that they do not reach it either, and elsewhere when
	// instances of other domains are.
	probe, elsewhere time.Time
}

// watch reads a topic whole, then its changes, for ever. take runs on the control goroutine; whole says that the records
// are all there are. While the store does not answer, it reads through other instances, which may reach it.
func (c *Controller) watch(
	ctx context.Context, name string, take func(now time.Time, whole bool, records []platform.Record),
) {
	w := &watcher{name: name, whole: true, pause: readRetry}
	for ctx.Err() == nil {
		records, next, err := c.read(ctx, w)
		switch {
		case platform.IsErrExpired(err):
			c.options.Meter.Count(meter.StoreGaps)
			w.whole = true
		case err != nil:
			if errors.Is(err, errStoreLost) {
				c.lose(w, err)
			}
			c.options.Meter.Count(meter.StoreReadsFailed)
			sleep(ctx, w.pause)
			w.pause = min(2*w.pause, readRetryMax)
		default:
			whole := w.whole
			w.from, w.whole = next, false
			if whole || len(records) > 0 {
				c.post(func(now time.Time) { take(now, whole, records) })
			}
			if w.lost {
				sleep(ctx, readRetryMax)
			} else if len(records) > 0 {
				sleep(ctx, gather)
			}
		}
	}
}

// sources are where an instance reads topics besides the store itself.
type sources struct {
	readers []string // addresses of the instances that read the store for this one, the first of them first
	others  []string // addresses of all other instances
	// mates is how many instances the failure domain has.
	mates int
}

// read reads what is next: through the instances that read for this domain, else from the store. Of the instances that
// may be missing news, and of those that do not reach the store, one in each domain asks it for all.
func (c *Controller) read(ctx context.Context, w *watcher) ([]platform.Record, int64, error) {
	c.options.Meter.Count(meter.StoreReads)
	from := c.sources.Load()
	if from == nil {
		from = &sources{}
	}
	told := false
	if !w.whole {
		for _, reader := range from.readers {
			records, next, err := c.readThrough(ctx, w, reader)
			if err == nil {
				c.found(w)
				return records, next, nil
			}
			if !errors.Is(err, errStoreLost) && !errors.Is(err, errPassedOver) {
				break // time was lost with it
			}
			told = told || errors.Is(err, errStoreLost)
		}
	}
	now := timekeeper.Now()
	if told && w.lost && now.Before(w.probe) {
		return c.readElsewhere(ctx, w, from, now)
	}
	w.probe = now.Add(probePause(from.mates))
	return c.readDirect(ctx, w, from)
}

// probePause is between two calls by which an instance looks for the store, while its readers do not reach it either: all
// instances of a domain together look as often as a reader does.
func probePause(mates int) time.Duration {
	return min(time.Duration(mates)*readRetryMax, probePauseMax)
}

// errPassedOver says that a reader did not answer just now.
var errPassedOver = errors.New("reader is passed over")

// readThrough reads through another instance.
func (c *Controller) readThrough(ctx context.Context, w *watcher, reader string) ([]platform.Record, int64, error) {
	if time.Now().Before(w.passed[reader]) {
		return nil, w.from, errPassedOver
	}
	trust := c.trust.Load()
	trusted := trust.fresh(timekeeper.Now())
	behind := trusted && trust.behind(w.name, w.from)
	request := &herald.FetchRequest{Topic: w.name, From: w.from, Look: !trusted || behind || w.lost}
	wait, timeout := relayWait, relayTimeout
	switch {
	case behind || w.lost:
		wait = 0
	case request.GetLook():
		wait = doubtWait
	}
	if request.GetLook() {
		timeout += platform.PollTimeout
	}
	request.WaitMs = uint32(wait.Milliseconds())
	waiting, cancel := c.untilDoubt(ctx)
	defer cancel()
	records, next, err := c.fetch(waiting, reader, request, wait+timeout)
	switch {
	case waiting.Err() != nil:
		return nil, w.from, waiting.Err()
	case err == nil && behind && len(records) == 0:
		err = errors.New("reader has less than the leader")
	case err == nil || errors.Is(err, errStoreLost):
		return records, next, err
	}
	klog.InfoS("topic is not handed on", "topic", w.name, "reader", reader, "from", w.from, "error", err)
	if w.passed == nil {
		w.passed = map[string]time.Time{}
	}
	w.passed[reader] = time.Now().Add(relayRetry)
	return nil, w.from, err
}

// readDirect reads from the store and, where that fails, through any other instance.
func (c *Controller) readDirect(ctx context.Context, w *watcher, from *sources) ([]platform.Record, int64, error) {
	wait := readWait
	switch {
	case w.lost:
		wait = 0
	case c.leading.Load():
		wait = leadWait
	case len(from.readers) > 0, !c.trust.Load().fresh(timekeeper.Now()):
		wait = relayWait // the readers may answer again, and the leader may be heard of again
	}
	asked := timekeeper.Now()
	if w.lost && c.relay.failedSince(asked.Add(-readRetryMax)) {
		return nil, w.from, errStoreLost // the other topic was just asked for in vain
	}
	records, next, err := c.readDoubting(ctx, w, wait)
	switch {
	case err == nil:
		c.found(w)
		if wait > 0 && len(records) == 0 {
			asked = timekeeper.Now().Add(-storeSlow) // nothing has come until then
		}
		c.relay.add(w.name, w.whole, records, next, asked)
		return records, next, nil
	case platform.IsErrExpired(err):
		c.found(w)
		return nil, w.from, err
	case ctx.Err() != nil:
		return nil, w.from, err // this instance stops
	}
	c.relay.lose(w.name, timekeeper.Now())
	c.lose(w, err)
	return c.readAnywhere(ctx, w, from, err)
}

// readAnywhere reads through any other instance, after the store itself failed with err.
func (c *Controller) readAnywhere(
	ctx context.Context, w *watcher, from *sources, err error,
) ([]platform.Record, int64, error) {
	if len(from.others) == 0 {
		return nil, w.from, err
	}
	w.tries++
	return c.fetch(ctx, from.others[w.tries%len(from.others)], &herald.FetchRequest{
		Topic: w.name, From: w.from, Whole: w.whole, Look: true,
	}, heartbeatTimeout)
}

// readElsewhere reads through instances that may reach the store, while nobody in this domain does.
func (c *Controller) readElsewhere(
	ctx context.Context, w *watcher, from *sources, now time.Time,
) (records []platform.Record, next int64, err error) {
	if now.Before(w.elsewhere) {
		return nil, w.from, errStoreLost
	}
	w.elsewhere = now.Add(elsewherePause)
	for range elsewhereTries {
		records, next, err = c.readAnywhere(ctx, w, from, errStoreLost)
		if !errors.Is(err, errStoreLost) {
			break
		}
	}
	return records, next, err
}

// lose takes note that the store is not reached.
func (c *Controller) lose(w *watcher, err error) {
	if !w.lost {
		klog.InfoS("store lost", "topic", w.name, "error", err)
	}
	w.lost = true
	c.post(func(now time.Time) { c.troubled[w.name] = now })
}

// found takes note that the store is reached, from here or through another instance.
func (c *Controller) found(w *watcher) {
	if w.lost {
		klog.InfoS("store is back", "topic", w.name)
		c.post(func(now time.Time) { c.troubled[w.name] = now })
	}
	w.lost, w.pause = false, readRetry
}

// readDoubting reads from the store, and once more without waiting when the wait is broken off by doubt.
func (c *Controller) readDoubting(
	ctx context.Context, w *watcher, wait time.Duration,
) ([]platform.Record, int64, error) {
	waiting, cancel := c.untilDoubt(ctx)
	defer cancel()
	records, next, err := c.readStore(waiting, w.name, w.from, w.whole, wait)
	if err == nil || waiting.Err() == nil || ctx.Err() != nil {
		return records, next, err
	}
	return c.readStore(ctx, w.name, w.from, w.whole, 0)
}

// untilDoubt returns a context that ends when reads that wait for news are broken off.
func (c *Controller) untilDoubt(ctx context.Context) (context.Context, context.CancelFunc) {
	waiting, cancel := context.WithCancel(ctx)
	doubt := *c.doubt.Load()
	go func() {
		select {
		case <-doubt:
			cancel()
		case <-waiting.Done():
		}
	}()
	return waiting, cancel
}

// breakOff ends the reads that wait for news.
func (c *Controller) breakOff() {
	next := make(chan struct{})
	close(*c.doubt.Swap(&next))
}

// guardReads breaks off reads that wait when this instance may be missing news: it no longer hears the leader, or leads
// and the store keeps it waiting.
func (c *Controller) guardReads(now time.Time) {
	c.leading.Store(c.lead != nil)
	sure := c.trust.Load().fresh(now)
	if c.lead != nil {
		sure = c.elector.PendingCallTime(now) <= storeSlow
	}
	if c.sure && !sure {
		c.breakOff()
	}
	c.sure = sure
}

// compare breaks off reads that wait when the leader has twice in a row known more of a topic than this instance.
func (c *Controller) compare(ends map[string]int64) {
	own := c.relay.ends()
	behind := map[string]bool{}
	for topic, end := range ends {
		if have, ok := own[topic]; ok && have < end {
			behind[topic] = true
		}
	}
	for topic := range behind {
		if c.behind[topic] {
			klog.InfoS("leader knows more", "topic", topic, "here", own[topic], "leader", ends[topic])
			c.breakOff()
			behind = nil
			break
		}
	}
	c.behind = behind
}

func (c *Controller) readStore(
	ctx context.Context, name string, from int64, whole bool, wait time.Duration,
) ([]platform.Record, int64, error) {
	if whole {
		return c.options.Store.Newest(ctx, name)
	}
	return c.options.Store.Changes(ctx, name, from, wait)
}

// sleep waits for a while, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
