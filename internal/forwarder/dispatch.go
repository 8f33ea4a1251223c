package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/wasabibank/wasabibank/internal/exchanger"
	"github.com/wasabibank/wasabibank/internal/queuer"
	"github.com/wasabibank/wasabibank/internal/resolver"
)

// maxAnswerBytes bounds the body of an answer, which is read whole into memory before it is forwarded, and the body of a
// request that another instance forwards.
const maxAnswerBytes = 64 << 20

// dispatch queues the request for its pool, which this instance dispatches, and sends it to a server.
func (c *Forwarder) dispatch(ctx context.Context, req *clientRequest) result {
	server, r, ok := c.acquireSlot(ctx, req)
	if !ok {
		if r.outcome == moved {
			return c.awaitNewOwner(ctx, req, r)
		}
		return r
	}
	start := time.Now()
	r = c.exchange(ctx, start, req, server)
	c.releaseSlot(time.Now(), start, req, server, r)
	return r
}

// awaitNewOwner waits until the request's key has an owner again, and adds this owner to r: the instance that forwarded the
// request may learn of the move only with its next report to the leader.
func (c *Forwarder) awaitNewOwner(ctx context.Context, req *clientRequest, r result) result {
	located := *req
	located.newOwner = ""
	if failed, ok := c.resolveOwner(ctx, time.Now(), &located); !ok {
		return failed
	}
	r.server, r.ownerMapVersion = located.pool.Server, located.ownerMapVersion
	return r
}

// acquireSlot waits for a slot of a server of the request's pool. ok is false if it got none; r says why.
func (c *Forwarder) acquireSlot(ctx context.Context, req *clientRequest) (server string, r result, ok bool) {
	now := time.Now()
	c.mu.Lock()
	q := c.queueFor(now, req.pool)
	if req.keyed && notOwner(q.view, req) {
		c.mu.Unlock()
		return "", result{outcome: moved, reason: "keys_not_here"}, false
	}
	if len(q.view.Servers(req.pool)) == 0 {
		c.mu.Unlock()
		return "", result{outcome: unreached, reason: "no_server"}, false
	}
	decision := q.queue.Offer(now, queuer.Request{
		Class: req.route, Priority: req.priority, Objective: req.objective, Deadline: req.deadline, AvoidServer: req.avoidServer,
	})
	switch d := decision.(type) {
	case queuer.Start:
		c.mu.Unlock()
		return d.Server, result{}, true
	case queuer.Refuse:
		c.mu.Unlock()
		return "", result{outcome: refused, retryAfter: d.RetryAfter, reason: "queue_full"}, false
	case queuer.Wait:
		w := &waiter{req: req, done: make(chan waitResult, 1)}
		q.waiters[d.Ticket] = w
		c.scheduleExpire(req.pool, q)
		c.mu.Unlock()
		return c.waitForSlot(ctx, req, q, d.Ticket, w)
	}
	panic("unknown queue decision")
}

// waitForSlot waits until w gets a slot or is refused, the deadline passes, or the client leaves.
func (c *Forwarder) waitForSlot(
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
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case res := <-w.done:
		if res.server != "" {
			c.notifyWaiters(q, q.queue.Done(time.Now(), res.server, req.route, queuer.Inconclusive, 0))
		}
	default:
		q.queue.Cancel(ticket)
		delete(q.waiters, ticket)
	}
	return "", result{outcome: abandoned, reason: "time_up_in_queue"}, false
}

// queueFor returns the queue of a server pool, and creates it on first use. The caller holds mu.
func (c *Forwarder) queueFor(now time.Time, serverPool resolver.ServerPool) *poolQueue {
	q := c.queues[serverPool]
	if q == nil {
		q = &poolQueue{waiters: map[queuer.Ticket]*waiter{}}
		c.queues[serverPool] = q
		c.updateQueue(now, serverPool, q, c.view.Load())
		c.queues[serverPool] = q
	}
	return q
}

// scheduleExpire expires requests of the pool's queue every expireInterval while requests wait in it. The caller holds mu.
func (c *Forwarder) scheduleExpire(serverPool resolver.ServerPool, q *poolQueue) {
	if q.expireScheduled {
		return
	}
	q.expireScheduled = true
	time.AfterFunc(expireInterval, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		q.expireScheduled = false
		c.notifyWaiters(q, q.queue.Expire(time.Now()))
		if q.queue.Waiting() > 0 {
			c.scheduleExpire(serverPool, q)
		}
	})
}

// releaseSlot frees the slot, and updates the statistics of the queue and of the server's load from the result.
func (c *Forwarder) releaseSlot(now, start time.Time, req *clientRequest, server string, r result) {
	took := now.Sub(start)
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queues[req.pool]
	if q == nil {
		return
	}
	queueOutcome := queuer.Failed
	switch {
	case r.outcome == answered && r.status < http.StatusInternalServerError:
		queueOutcome = queuer.Answered
		c.loads.countAnswer(server, took)
	case r.outcome == rejected:
		queueOutcome = queuer.Rejected
	case r.outcome == abandoned, r.reason == reasonClientLeft:
		queueOutcome = queuer.Inconclusive
	case r.outcome == moved:
		queueOutcome = queuer.Inconclusive
	}
	c.notifyWaiters(q, q.queue.Done(now, server, req.route, queueOutcome, took))
}

// reasonClientLeft is the reason of a result whose client left. It also decides how the result is counted.
const reasonClientLeft = "client_left"

// exchange sends the request to a server and reads the whole answer.
func (c *Forwarder) exchange(ctx context.Context, now time.Time, req *clientRequest, serverID string) result {
	server, ok := c.view.Load().Server(serverID)
	if !ok {
		return result{outcome: unreached, server: serverID, reason: "server_gone"}
	}
	if !now.Before(req.deadline) {
		return result{outcome: abandoned, server: serverID, reason: "time_up"}
	}
	connection, err := c.serverConnPool(server.Address, server.Slots).Connect(ctx, now, req.deadline)
	if err != nil {
		return result{outcome: unreached, server: serverID, reason: "no_connection: " + err.Error()}
	}
	// A request that is not idempotent is not cancelled when its client leaves, so that the server can complete it.
	sendCtx := ctx
	if !req.idempotent {
		sendCtx = context.WithoutCancel(ctx)
	}
	response, err := connection.Do(sendCtx, c.serverRequest(req, now, serverID, server.Address), req.deadline, nil)
	if err != nil {
		return c.exchangeFailure(ctx, req, serverID, err)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	sameRequest := response.Header.Get(c.headers.RequestID) == req.id || response.Header.Get(c.headers.RequestID) == ""
	response.Close(time.Now(), err == nil && sameRequest)
	if err != nil {
		return c.exchangeFailure(ctx, req, serverID, err)
	}
	r := c.interpretAnswer(req, response.Status, response.Header, body, sameRequest)
	r.server = serverID
	return r
}

// exchangeFailure returns the result of an exchange that ended without a whole answer.
func (c *Forwarder) exchangeFailure(ctx context.Context, req *clientRequest, serverID string, err error) result {
	r := result{outcome: broken, server: serverID, sent: true, reason: "no_whole_answer: " + err.Error()}
	if exchanger.IsErrNotSent(err) {
		r = result{outcome: unreached, server: serverID, reason: "not_sent: " + err.Error()}
	}
	if ctx.Err() != nil {
		r.reason = reasonClientLeft
	}
	return r
}

// interpretAnswer returns the result for a whole answer. sameRequest is false if the answer has the id of another request.
func (c *Forwarder) interpretAnswer(
	req *clientRequest, status int, header http.Header, body []byte, sameRequest bool,
) result {
	r := result{outcome: answered, status: status, header: header, body: body, sent: true}
	fromServer := header.Get(c.headers.Signature) != ""
	switch {
	case !sameRequest:
		return result{outcome: broken, sent: true, reason: "answer_to_another_request"}
	case header.Get(c.headers.NotExecuted) != "" || status == http.StatusMisdirectedRequest:
		return result{outcome: rejected, sent: true, status: status, reason: "server_rejected: " + strconv.Itoa(status)}
	case status < http.StatusOK || (status < http.StatusMultipleChoices && !fromServer):
		return result{outcome: broken, sent: true, reason: "answer_without_signature"}
	case header.Get("Content-Encoding") != "":
		return result{outcome: broken, sent: true, reason: "encoded_answer"}
	case impliesNotExecuted(status) && !req.idempotent:
		// The client would conclude from the status that the request was not executed, but the server did not confirm that.
		return result{outcome: broken, sent: true, reason: "status_without_promise: " + strconv.Itoa(status)}
	}
	return r
}

// impliesNotExecuted reports whether clients conclude from a status that the request was not executed and never will be.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// serverRequest returns the HTTP request to a server, with the headers for its target and the time left.
func (c *Forwarder) serverRequest(req *clientRequest, now time.Time, serverID, address string) *http.Request {
	httpReq := req.newHTTPRequest(address)
	httpReq.Header.Set(c.headers.Target, serverID)
	httpReq.Header.Set(c.headers.TimeLeft, strconv.FormatInt(max(1, req.deadline.Sub(now).Milliseconds()), 10))
	return httpReq
}

// newHTTPRequest returns the HTTP request to address, with the method, URI, headers and body that the client sent.
func (req *clientRequest) newHTTPRequest(address string) *http.Request {
	httpReq := &http.Request{
		Method: req.method, Host: req.host, URL: &url.URL{Scheme: "http", Host: address, Opaque: req.uri},
		Header: req.header.Clone(), ContentLength: int64(len(req.body)),
	}
	if strings.HasPrefix(req.uri, "//") { // net/url would put the scheme before such an Opaque
		if parsed, err := url.ParseRequestURI(req.uri); err == nil {
			httpReq.URL = parsed
		}
	}
	if _, ok := httpReq.Header["User-Agent"]; !ok {
		httpReq.Header["User-Agent"] = []string{""} // or net/http sends its own
	}
	if len(req.body) > 0 {
		httpReq.Body = io.NopCloser(bytes.NewReader(req.body))
	}
	return httpReq
}
