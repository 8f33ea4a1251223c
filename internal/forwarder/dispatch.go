package forwarder

import (
	"context"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/exchanger"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/quarantiner"
	"github.com/wasabibank/wasabibank/internal/queuer"
	"github.com/wasabibank/wasabibank/internal/resolver"
)

// A server that answers 504 with at most timeUpMargin, or the timeUpFraction-th part of the request's time, left has given up for lack of
// time. An earlier 504 says that the server failed.
const (
	timeUpMargin   = 20 * time.Millisecond
	timeUpFraction = 10
)

// dispatch queues the request for its pool, which this instance dispatches, and sends it to a server.
func (f *Forwarder) dispatch(ctx context.Context, req *clientRequest) result {
	var server string
	req.held = 0
	for {
		f.awaitCatchup(ctx, req)
		r, barred := f.refuseBarred(time.Now(), req)
		if barred {
			return r
		}
		var ok bool
		server, r, ok = f.acquireSlot(ctx, req)
		switch {
		case !ok && r.outcome == moved && req.keyed:
			return f.awaitNewOwner(ctx, req, r)
		case !ok:
			return r
		}
		if f.verdictStands(time.Now(), req) {
			break
		}
		now := time.Now()
		f.releaseSlot(now, now, req, server, result{outcome: abandoned, server: server})
	}
	f.limitDeadline(req) // the shutdown may have begun while it waited
	start := time.Now()
	r := f.exchange(ctx, start, req, server)
	f.releaseSlot(time.Now(), start, req, server, r)
	return f.observeExecution(ctx, start, req, r)
}

// awaitNewOwner waits until the request's key has an owner again, and names this owner in r. An instance that forwarded the
// request may not know about the move yet: it may learn about it only with the answer to its next report to the leader.
func (f *Forwarder) awaitNewOwner(ctx context.Context, req *clientRequest, r result) result {
	copied := *req
	copied.newOwner = ""
	if failed, ok := f.resolveOwner(ctx, time.Now(), &copied); !ok {
		return failed
	}
	r.server, r.ownerMapVersion = copied.pool.Server, copied.ownerMapVersion
	return r
}

// acquireSlot waits for a slot of a server of the request's pool. ok is false if it got none; r says why.
func (f *Forwarder) acquireSlot(ctx context.Context, req *clientRequest) (server string, r result, ok bool) {
	now := time.Now()
	f.mu.Lock()
	if req.isHop && !f.admitHop(now, req.deadline) {
		f.mu.Unlock()
		return "", declinedResult(), false
	}
	f.limitDeadline(req)
	_, req.suspect = f.quarantine.Verdict(now, req.fingerprints).(quarantiner.Suspect)
	f.resumeContact(now)
	q := f.queueFor(now, req.pool)
	if req.keyed && notOwner(q.view, req) {
		f.mu.Unlock()
		return "", result{outcome: moved, reason: "keys_not_here"}, false
	}
	if len(q.view.Servers(req.pool)) == 0 {
		f.mu.Unlock()
		return "", result{outcome: unreached, reason: reasonNoServer}, false
	}
	if f.poolLost(q.view, req.pool) {
		f.mu.Unlock()
		return "", declinedResult(), false
	}
	decision := q.queue.Offer(now, queuer.Request{
		Class: req.route, Priority: req.priority, Objective: req.objective, Deadline: req.deadline, AvoidServer: req.avoidServer,
		NotIdempotent: !req.idempotent, Substitute: !dispatchesItself(q.view, req.pool),
		Suspect: req.suspect,
	})
	switch d := decision.(type) {
	case queuer.Start:
		f.mu.Unlock()
		return d.Server, result{}, true
	case queuer.Refuse:
		f.mu.Unlock()
		return "", result{outcome: refused, retryAfter: d.RetryAfter, reason: refusalReason(d.Reason, "queue_full")}, false
	case queuer.Wait:
		if d.Held {
			f.meter.Count(meter.RequestsHeld)
		}
		w := &waiter{req: req, done: make(chan waitResult, 1)}
		q.waiters[d.Ticket] = w
		f.scheduleAdvance(req.pool, q)
		f.mu.Unlock()
		return f.waitForSlot(ctx, req, q, d.Ticket, w)
	}
	panic("unknown queue decision")
}

// refusalReason returns the reason that is logged for a refusal by a queue; noTurn is the one for queuer.NoTurn.
func refusalReason(r queuer.Reason, noTurn string) string {
	if r == queuer.TooLittleTime {
		return "too_little_time"
	}
	return noTurn
}

// waitForSlot waits until w gets a slot or is refused, the deadline passes, or the client leaves.
func (f *Forwarder) waitForSlot(
	ctx context.Context, req *clientRequest, q *poolQueue, ticket queuer.Ticket, w *waiter,
) (server string, r result, ok bool) {
	timer := time.NewTimer(time.Until(req.deadline))
	defer timer.Stop()
	select {
	case res := <-w.done:
		return res.server, res.result, res.server != ""
	case <-ctx.Done():
	case <-timer.C:
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case res := <-w.done:
		if res.server != "" {
			if req.suspect {
				q.queue.EndSuspect(res.server)
			}
			f.notifyWaiters(q, q.queue.Done(time.Now(), res.server, req.route, queuer.Inconclusive, 0))
		}
	default:
		q.queue.Cancel(ticket)
		delete(q.waiters, ticket)
	}
	if ctx.Err() != nil {
		return "", result{outcome: abandoned, reason: f.endReason(ctx), retryAfter: minRetryAfter}, false
	}
	return "", result{outcome: abandoned, reason: "time_up_in_queue"}, false
}

// queueFor returns the queue of a server pool, and creates it on first use. The caller holds mu.
func (f *Forwarder) queueFor(now time.Time, serverPool resolver.ServerPool) *poolQueue {
	q := f.queues[serverPool]
	if q == nil {
		q = &poolQueue{queue: queuer.New(&f.serviceTimes, f.queueing), waiters: map[queuer.Ticket]*waiter{}}
		f.queues[serverPool] = q
		f.updateQueue(now, serverPool, q, f.view.Load())
		f.queues[serverPool] = q // updateQueue drops an empty queue, but the caller needs it
	}
	return q
}

// scheduleAdvance advances the pool's queue every advanceInterval while requests wait in it. The caller holds mu.
func (f *Forwarder) scheduleAdvance(serverPool resolver.ServerPool, q *poolQueue) {
	if q.advanceScheduled {
		return
	}
	q.advanceScheduled = true
	time.AfterFunc(advanceInterval, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		q.advanceScheduled = false
		f.notifyWaiters(q, q.queue.Advance(time.Now()))
		if q.queue.Waiting() > 0 {
			f.scheduleAdvance(serverPool, q)
		}
	})
}

// releaseSlot frees the slot, and updates the statistics of the queue and of the server's load from the result.
func (f *Forwarder) releaseSlot(now, start time.Time, req *clientRequest, server string, r result) {
	took := now.Sub(start) - req.held
	f.mu.Lock()
	defer f.mu.Unlock()
	q := f.queues[req.pool]
	if q == nil {
		return
	}
	given := req.deadline.Sub(start) - req.held
	outcome := queueOutcome(r, took, given)
	if outcome == queuer.TimedOut {
		took = given
	}
	if q.queue.Counts(server, req.route, outcome, took) {
		state, _ := q.queue.ServerState(server)
		f.loads.countServiceTime(server, reportedTime(state, took), q.queue.Work(now, server, req.route))
	}
	if p, ok := f.pauses[server]; ok { // before Done, which may start the next request
		f.notifyWaiters(q, q.queue.Pause(now, server, p.until))
	}
	if req.suspect {
		q.queue.EndSuspect(server)
	}
	f.notifyWaiters(q, q.queue.Done(now, server, req.route, outcome, took))
	f.observeState(now, q, server)
}

// queueOutcome returns what the result of a request that took a time, of the time given to it, says about its server.
func queueOutcome(r result, took, given time.Duration) queuer.Outcome {
	switch {
	case r.lacksPath(): // the detector judges paths
		return queuer.Inconclusive
	case r.outcome == answered && r.status < http.StatusInternalServerError:
		return queuer.Answered
	case r.outcome == rejected:
		return queuer.Rejected
	case r.outcome == broken && r.reason == reasonClientLeft:
		return queuer.ClientLeft
	case r.outcome == abandoned, r.reason == reasonClientLeft, r.reason == reasonShuttingDown:
		return queuer.Inconclusive
	case r.outcome == moved, r.reason == reasonCold, r.lacksMemory:
		return queuer.Inconclusive
	case r.timedOut, r.status == http.StatusGatewayTimeout && given-took <= max(timeUpMargin, given/timeUpFraction):
		return queuer.TimedOut
	}
	return queuer.Failed
}

// exchange sends the request to a server and reads the complete answer.
func (f *Forwarder) exchange(ctx context.Context, now time.Time, req *clientRequest, serverID string) result {
	server, ok := f.view.Load().Server(serverID)
	if !ok || server.Evacuated && server.State == cataloger.Gone {
		return result{outcome: unreached, server: serverID, reason: "server_gone"}
	}
	if !now.Before(req.deadline) {
		return result{outcome: abandoned, server: serverID, reason: "time_up"}
	}
	if reason := f.endReason(ctx); reason != "" { // the slot may have become free because all requests end
		return result{outcome: abandoned, server: serverID, reason: reason}
	}
	connection, err := f.serverConnPool(server.Address, server.Slots).AcquireFor(ctx, now, req.deadline, req.id)
	if err != nil && ctx.Err() != nil {
		return result{outcome: abandoned, server: serverID, reason: f.endReason(ctx)}
	}
	if err != nil {
		f.observeContact(time.Now(), serverID, classifyConnectError(err, req.deadline.Sub(now)))
		reason := reasonNoConnection
		if exchanger.IsErrPoolExhausted(err) {
			reason = "no_free_connection"
		}
		return result{outcome: unreached, server: serverID, reason: reason + ": " + err.Error(), retryAfter: defaultRetryAfter}
	}
	if !f.awaitColdTurn(ctx, req, server) {
		connection.Release(time.Now())
		return result{outcome: unreached, server: serverID, reason: reasonCold, retryAfter: minRetryAfter}
	}
	// A request that is not idempotent is not cancelled when its client leaves, so that the server can complete it.
	sendCtx := ctx
	if !req.idempotent {
		sendCtx = f.lifetime
	}
	reused := connection.Reused()
	response, err := connection.Do(sendCtx, f.serverRequest(req, time.Now(), serverID, server.Address), req.deadline, nil)
	if err != nil {
		f.observeContact(time.Now(), serverID, classifyError(err, reused))
		if isConnectionLost(err) { // the server may have ended, and start again
			f.suspectCold(time.Now(), serverID)
		}
		return f.exchangeFailure(ctx, req, serverID, err)
	}
	removeInstanceHeaders(response.Header)
	f.observeContact(time.Now(), serverID, contactMade)
	body, err := f.readAnswer(req, response.Body)
	answerID := response.Header.Get(f.headers.RequestID)
	// Servers repeat the id. Without it, an answer on a connection that was used before may be a late copy of an earlier one.
	sameRequest := answerID == req.id || answerID == "" && !response.Reused
	// A connection that delivered the answer to another request is not used again.
	response.Close(time.Now(), err == nil && sameRequest)
	if err != nil {
		return f.exchangeFailure(ctx, req, serverID, err)
	}
	f.observeLoad(time.Now(), req.pool, server, response.Status, response.Header, sameRequest)
	if sameRequest {
		f.observeServer(time.Now(), now, server, response.Status, response.Header)
	}
	r := f.interpretAnswer(req, response.Status, response.Header, body, sameRequest)
	r.server = serverID
	if r.outcome != answered { // the result is without the answer
		req.memory.releaseAnswer()
	}
	if r.outcome == rejected {
		r.retryAfter = f.pauseLeft(time.Now(), serverID)
	}
	return r
}

// exchangeFailure returns the result of an exchange that ended without a complete answer.
func (f *Forwarder) exchangeFailure(ctx context.Context, req *clientRequest, serverID string, err error) result {
	f.observeInvalidAnswer(req, "server", serverID, err)
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	r := result{
		outcome: broken, server: serverID, maybeSent: true, connectionLost: isConnectionLost(err),
		timedOut: timedOut, lacksMemory: isNoMemory(err), reason: "no_whole_answer: " + err.Error(),
	}
	if exchanger.IsErrNotSent(err) {
		r = result{outcome: unreached, server: serverID, timedOut: timedOut, reason: "not_sent: " + err.Error()}
	}
	if reason := f.endReason(ctx); reason != "" {
		r.reason = reason
	}
	return r
}

// observeInvalidAnswer counts and logs an answer of a server or a dispatcher that has no valid status line.
func (f *Forwarder) observeInvalidAnswer(req *clientRequest, role, name string, err error) {
	if !exchanger.IsErrInvalidAnswer(err) {
		return
	}
	f.meter.Count(meter.InvalidAnswers)
	klog.InfoS("answer is invalid", "id", loggable(req.id), role, name, "error", err)
}

// interpretAnswer returns the result for a complete answer. sameRequest is false if the answer has the id of another
// request.
func (f *Forwarder) interpretAnswer(
	req *clientRequest, status int, header http.Header, body payload, sameRequest bool,
) result {
	r := result{
		outcome: answered, status: status, header: header, body: body, toHead: req.method == http.MethodHead, maybeSent: true,
	}
	fromServer := header.Get(f.headers.Signature) != ""
	switch {
	case !sameRequest:
		return result{outcome: broken, maybeSent: true, reason: "answer_to_another_request"}
	case header.Get(f.headers.NotExecuted) != "" || status == http.StatusMisdirectedRequest:
		return result{
			outcome: rejected, maybeSent: true, status: status, reason: "server_rejected: " + strconv.Itoa(status),
		}
	case status < http.StatusOK || (status < http.StatusMultipleChoices && !fromServer):
		return result{outcome: broken, maybeSent: true, reason: "answer_without_signature"}
	case header.Get("Content-Encoding") != "":
		return result{outcome: broken, maybeSent: true, reason: "encoded_answer"}
	case impliesNotExecuted(status) && !req.idempotent:
		// The client would conclude from the status that the request was not executed, but the server did not confirm that
		// with the NotExecuted header, the "promise" of the reason.
		return result{outcome: broken, maybeSent: true, reason: "status_without_promise: " + strconv.Itoa(status)}
	}
	return r
}

// impliesNotExecuted reports whether clients conclude from a status that the request was not executed and never will be.
// Package loadtester, as a client, has the same list.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// serverRequest returns the HTTP request to a server, with the headers for its target and the time left.
func (f *Forwarder) serverRequest(req *clientRequest, now time.Time, serverID, address string) *http.Request {
	httpReq := req.newHTTPRequest(address)
	httpReq.Header.Set(f.headers.Target, serverID)
	httpReq.Header.Set(f.headers.TimeLeft, strconv.FormatInt(max(1, req.deadline.Sub(now).Milliseconds()), 10))
	return httpReq
}
