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

// maxAnswerBytes bounds an answer, which is held until it is whole.
const maxAnswerBytes = 64 << 20

// front queues the job for its pool, here, and sends it to a server.
func (c *Forwarder) front(ctx context.Context, j *job) result {
	server, r, ok := c.await(ctx, j)
	if !ok {
		if r.outcome == moved {
			return c.follow(ctx, j, r)
		}
		return r
	}
	began := time.Now()
	r = c.exchange(ctx, began, j, server)
	c.finish(time.Now(), began, j, server, r)
	return r
}

// follow waits until the keys of a job are served again, and names their owner to the instance that passed the job on,
// which may hear of the move only with its next report.
func (c *Forwarder) follow(ctx context.Context, j *job, r result) result {
	found := *j
	found.owner = ""
	if failed, ok := c.locate(ctx, time.Now(), &found); !ok {
		return failed
	}
	r.server, r.owners = found.pool.Server, found.owners
	return r
}

// await waits for a slot of a server of the job's pool; ok is false where there is none, and result says why.
func (c *Forwarder) await(ctx context.Context, j *job) (server string, r result, ok bool) {
	now := time.Now()
	c.mu.Lock()
	p := c.queue(now, j.pool)
	if j.keyed && ownsNot(p.served, j) {
		c.mu.Unlock()
		return "", result{outcome: moved, reason: "keys_not_here"}, false
	}
	if len(p.served.Servers(j.pool)) == 0 {
		c.mu.Unlock()
		return "", result{outcome: unreached, reason: "no_server"}, false
	}
	decision := p.queue.Offer(now, queuer.Request{
		Class: j.route, Priority: j.priority, Objective: j.objective, Deadline: j.limit, AvoidServer: j.avoid,
	})
	switch d := decision.(type) {
	case queuer.Start:
		c.mu.Unlock()
		return d.Server, result{}, true
	case queuer.Refuse:
		c.mu.Unlock()
		return "", result{outcome: refused, retryAfter: d.RetryAfter, reason: "queue_full"}, false
	case queuer.Wait:
		w := &wait{job: j, verdict: make(chan verdict, 1)}
		p.waits[d.Ticket] = w
		c.watch(j.pool, p)
		c.mu.Unlock()
		return c.turn(ctx, j, p, d.Ticket, w)
	}
	panic("unknown decision of the queue")
}

// turn waits until the request's turn comes, or its time is up.
func (c *Forwarder) turn(
	ctx context.Context, j *job, p *pool, t queuer.Ticket, w *wait,
) (server string, r result, ok bool) {
	timer := time.NewTimer(time.Until(j.limit))
	defer timer.Stop()
	select {
	case v := <-w.verdict:
		return v.server, v.result, v.server != ""
	case <-ctx.Done():
	case <-timer.C:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case v := <-w.verdict:
		if v.server != "" {
			c.apply(p, p.queue.Done(time.Now(), v.server, j.route, queuer.Abandoned, 0))
		}
	default:
		p.queue.Cancel(t)
		delete(p.waits, t)
	}
	return "", result{outcome: cut, reason: "time_up_in_queue"}, false
}

// queue returns the pool's queue, making it on first use. The caller holds mu.
func (c *Forwarder) queue(now time.Time, key resolver.ServerPool) *pool {
	p := c.pools[key]
	if p == nil {
		p = &pool{waits: map[queuer.Ticket]*wait{}}
		c.pools[key] = p
		c.refresh(now, key, p, c.view.Load())
		c.pools[key] = p
	}
	return p
}

// watch sees to it that the pool's queue is looked through while requests wait. The caller holds mu.
func (c *Forwarder) watch(key resolver.ServerPool, p *pool) {
	if p.timer {
		return
	}
	p.timer = true
	time.AfterFunc(expiry, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		p.timer = false
		c.apply(p, p.queue.Expire(time.Now()))
		if p.queue.Waiting() > 0 {
			c.watch(key, p)
		}
	})
}

// finish gives the slot back and learns from the result.
func (c *Forwarder) finish(now, began time.Time, j *job, server string, r result) {
	took := now.Sub(began)
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[j.pool]
	if p == nil {
		return
	}
	kind := queuer.Failed
	switch {
	case r.outcome == answered && r.status < http.StatusInternalServerError:
		kind = queuer.Answered
		c.loads.countAnswer(server, took)
	case r.outcome == rejected:
		kind = queuer.Rejected
	case r.outcome == cut, r.reason == reasonClientLeft:
		kind = queuer.Abandoned
	case r.outcome == moved:
		kind = queuer.Abandoned
	}
	c.apply(p, p.queue.Done(now, server, j.route, kind, took))
}

// Reasons in the log that decide something.
const reasonClientLeft = "client_left"

// exchange sends the job to a server and reads the whole answer.
func (c *Forwarder) exchange(ctx context.Context, now time.Time, j *job, id string) result {
	server, ok := c.view.Load().Server(id)
	if !ok {
		return result{outcome: unreached, server: id, reason: "server_gone"}
	}
	if !now.Before(j.limit) {
		return result{outcome: cut, server: id, reason: "time_up"}
	}
	connection, err := c.server(server.Address, server.Slots).Connect(ctx, now, j.limit)
	if err != nil {
		return result{outcome: unreached, server: id, reason: "no_connection: " + err.Error()}
	}
	// The time for a request that may run only once is not cut short when its client leaves: what it does is done whole.
	sending := ctx
	if !j.repeatable {
		sending = context.WithoutCancel(ctx)
	}
	response, err := connection.Do(sending, c.request(j, now, id, server.Address), j.limit, nil)
	if err != nil {
		return c.failure(ctx, j, id, err)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	own := response.Header.Get(c.names.RequestID) == j.id || response.Header.Get(c.names.RequestID) == ""
	response.Close(time.Now(), err == nil && own)
	if err != nil {
		return c.failure(ctx, j, id, err)
	}
	r := c.judge(j, response.Status, response.Header, body, own)
	r.server = id
	return r
}

// failure is the result of an exchange that ended without a whole answer.
func (c *Forwarder) failure(ctx context.Context, j *job, id string, err error) result {
	r := result{outcome: broken, server: id, sent: true, reason: "no_whole_answer: " + err.Error()}
	if exchanger.IsErrNotSent(err) {
		r = result{outcome: unreached, server: id, reason: "not_sent: " + err.Error()}
	}
	if ctx.Err() != nil {
		r.reason = reasonClientLeft
	}
	return r
}

// judge says what a whole answer means.
func (c *Forwarder) judge(j *job, status int, header http.Header, body []byte, own bool) result {
	r := result{outcome: answered, status: status, header: header, body: body, sent: true}
	signed := header.Get(c.names.Signature) != ""
	switch {
	case !own:
		return result{outcome: broken, sent: true, reason: "answer_to_another_request"}
	case header.Get(c.names.NotRun) != "" || status == http.StatusMisdirectedRequest:
		return result{outcome: rejected, sent: true, status: status, reason: "server_rejected: " + strconv.Itoa(status)}
	case status < http.StatusOK || (status < http.StatusMultipleChoices && !signed):
		return result{outcome: broken, sent: true, reason: "answer_without_signature"}
	case header.Get("Content-Encoding") != "":
		return result{outcome: broken, sent: true, reason: "encoded_answer"}
	case promisesNotRun(status) && !j.repeatable:
		// The status would tell the client that the request did not run, which the server has not said.
		return result{outcome: broken, sent: true, reason: "status_without_promise: " + strconv.Itoa(status)}
	}
	return r
}

// promisesNotRun reports whether clients take a status to mean that the request did not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// request returns the request to a server.
func (c *Forwarder) request(j *job, now time.Time, id, address string) *http.Request {
	request := j.outgoing(address)
	request.Header.Set(c.names.Target, id)
	request.Header.Set(c.names.TimeLeft, strconv.FormatInt(max(1, j.limit.Sub(now).Milliseconds()), 10))
	return request
}

// outgoing returns the job as a request, with its method, path and body unchanged.
func (j *job) outgoing(address string) *http.Request {
	request := &http.Request{
		Method: j.method, Host: j.host, URL: &url.URL{Scheme: "http", Host: address, Opaque: j.uri},
		Header: j.header.Clone(), ContentLength: int64(len(j.body)),
	}
	if strings.HasPrefix(j.uri, "//") {
		if parsed, err := url.ParseRequestURI(j.uri); err == nil {
			request.URL = parsed
		}
	}
	if _, ok := request.Header["User-Agent"]; !ok {
		request.Header["User-Agent"] = []string{""} // or Go names itself
	}
	if len(j.body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(j.body))
	}
	return request
}
