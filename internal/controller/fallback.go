package controller

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/platform"
)

// readFromOthers reads through several other instances at once, different ones each time, after the store itself failed with err. The
// first that answers counts: when a part of the instances is cut off, a single one that is cut off too would cost peerCallTimeout.
func (c *Controller) readFromOthers(
	ctx context.Context, w *watcher, src *sources, err error,
) ([]platform.Record, platform.Position, error) {
	addresses := chooseOthers(src.others, w.otherReads)
	if len(addresses) == 0 {
		return nil, w.next, err
	}
	w.otherReads++
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		records []platform.Record
		next    platform.Position
		err     error
	}
	answers := make(chan answer, len(addresses))
	for _, address := range addresses {
		request := &herald.FetchRequest{
			Topic: w.topic, From: w.next.Offset, Era: w.next.Era, Whole: w.full, Look: true,
		}
		go func() {
			records, next, err := c.fetchFrom(ctx, address, request, peerCallTimeout)
			answers <- answer{records, next, err}
		}()
	}
	var failed answer
	for range addresses {
		a := <-answers
		if a.err == nil || platform.IsErrExpired(a.err) {
			return a.records, a.next, a.err
		}
		if failed.err == nil || errors.Is(a.err, errStoreUnreachable) {
			failed = a
		}
	}
	return nil, w.next, failed.err
}

// chooseOthers returns the addresses of fallbackReads of the other instances, in the given round. They are equally far apart in the
// list, which is sorted by name, so that they are in different failure domains where names begin with these.
func chooseOthers(others []string, round int) []string {
	count := min(fallbackReads, len(others))
	chosen := make([]string, 0, count)
	for i := range count {
		chosen = append(chosen, others[(round+i*len(others)/count)%len(others)])
	}
	return chosen
}

// readFallback reads through other instances, which may reach the store, while the relays of this domain can't.
func (c *Controller) readFallback(
	ctx context.Context, w *watcher, src *sources, now time.Time,
) (records []platform.Record, next platform.Position, err error) {
	if now.Before(w.nextFallback) {
		return nil, w.next, errStoreUnreachable
	}
	w.nextFallback = now.Add(fallbackInterval)
	return c.readFromOthers(ctx, w, src, errStoreUnreachable)
}
