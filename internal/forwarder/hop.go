package forwarder

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/exchanger"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/partitioner"
	"github.com/wasabibank/wasabibank/internal/resolver"
)

// Headers between instances.
const (
	// HeaderHop marks a request that another instance took from a client, and tells what that instance decided.
	HeaderHop = "Wasabibank-Hop"
	// headerOutcome tells what became of it.
	headerOutcome = "Wasabibank-Outcome"
)

// hopSlack is how much longer than the front an instance waits for the front's answer.
const hopSlack = 30 * time.Millisecond

// outcomeFields is how many fields a result's encode has.
const outcomeFields = 7

// hopFields is how many fields hop encodes.
const hopFields = 13

// none stands for an empty field, so that fields can be split at spaces.
const none = "-"

// hop encodes what a front has to know of the job.
func (j *job) hop(now time.Time) string {
	key := none
	if j.keyed {
		key = strconv.Itoa(int(j.key))
	}
	return fmt.Sprintf("%s %s %s %s %d %t %s %d %d %d %d %s %d", j.pool.Service, orNone(j.pool.Server), j.pool.Domain, j.route,
		j.priority, j.repeatable, key, j.objective.Sub(now).Milliseconds(), j.limit.Sub(now).Milliseconds(),
		j.owners.Term, j.owners.Sequence, orNone(j.avoid), j.pool.Shard)
}

func orNone(text string) string {
	if text == "" {
		return none
	}
	return text
}

func orEmpty(text string) string {
	if text == none {
		return ""
	}
	return text
}

// decodeHop sets the fields of the job that hop encodes.
func (j *job) decodeHop(now time.Time, text string) error {
	f := strings.Split(text, " ")
	if len(f) != hopFields {
		return errors.Errorf("%d fields instead of %d", len(f), hopFields)
	}
	numbers := make([]int64, len(f))
	for _, i := range []int{4, 7, 8, 9, 10, 12} {
		n, err := strconv.ParseInt(f[i], 10, 64)
		if err != nil {
			return errors.Wrap(err, "number")
		}
		numbers[i] = n
	}
	j.pool = resolver.ServerPool{Service: f[0], Server: orEmpty(f[1]), Domain: f[2], Shard: int(numbers[12])}
	j.service, j.route, j.priority, j.repeatable = f[0], f[3], int(numbers[4]), f[5] == "true"
	if f[6] != none {
		key, err := strconv.ParseUint(f[6], 10, 16)
		if err != nil {
			return errors.Wrap(err, "key")
		}
		j.keyed, j.key = true, uint16(key)
	}
	j.objective = now.Add(time.Duration(numbers[7]) * time.Millisecond)
	j.limit = now.Add(time.Duration(numbers[8]) * time.Millisecond)
	j.owners = partitioner.Version{Term: uint64(numbers[9]), Sequence: uint64(numbers[10])}
	j.avoid = orEmpty(f[11])
	return nil
}

// encode returns the fields of a result that a front tells besides the answer: outcome, whether it may have reached a
// server, server, pause in milliseconds, version of the owners, reason.
func (r result) encode() string {
	reason, _, _ := strings.Cut(r.reason, "\n")
	return fmt.Sprintf("%d %t %s %d %d %d %s", r.outcome, r.sent, orNone(r.server), r.retryAfter.Milliseconds(),
		r.owners.Term, r.owners.Sequence, orNone(reason))
}

// decode sets the fields that encode tells.
func (r *result) decode(text string) error {
	f := strings.SplitN(text, " ", outcomeFields)
	if len(f) != outcomeFields {
		return errors.New("outcome has too few fields")
	}
	var numbers [outcomeFields]uint64
	for _, i := range []int{0, 3, 4, 5} {
		n, err := strconv.ParseUint(f[i], 10, 63)
		if err != nil {
			return errors.Wrap(err, "number")
		}
		numbers[i] = n
	}
	if numbers[0] > uint64(cut) {
		return errors.Errorf("unknown outcome %q", f[0])
	}
	r.outcome, r.sent, r.server = outcome(numbers[0]), f[1] == "true", orEmpty(f[2])
	r.retryAfter = time.Duration(numbers[3]) * time.Millisecond
	r.owners = partitioner.Version{Term: numbers[4], Sequence: numbers[5]}
	r.reason = orEmpty(f[6])
	return nil
}

// pass sends the job to its front, another instance.
func (c *Forwarder) pass(ctx context.Context, j *job, front resolver.Member) result {
	now := time.Now()
	due := j.limit.Add(hopSlack)
	connection, err := c.peer(front.Address).Connect(ctx, now, due)
	if err != nil {
		if ctx.Err() == nil {
			c.suspect(now, front.Instance)
		}
		return result{outcome: unreached, front: front.Instance, reason: "no_front: " + err.Error()}
	}
	c.meter.Count(meter.RequestsForwarded)
	request := j.outgoing(front.Address)
	request.Header.Set(HeaderHop, j.hop(now))
	sending := ctx
	if !j.repeatable {
		sending = context.WithoutCancel(ctx)
	}
	response, err := connection.Do(sending, request, due, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
		response.Close(time.Now(), err == nil)
	}
	if err != nil {
		return c.lostFront(ctx, j, front, err)
	}
	r := result{status: response.Status, header: response.Header, body: body, front: front.Instance}
	if err := r.decode(response.Header.Get(headerOutcome)); err != nil {
		return result{outcome: broken, sent: true, front: front.Instance, reason: "front_answered: " + err.Error()}
	}
	response.Header.Del(headerOutcome)
	r.front = front.Instance
	return r
}

// lostFront is the result where the front did not answer.
func (c *Forwarder) lostFront(ctx context.Context, j *job, front resolver.Member, err error) result {
	if ctx.Err() != nil {
		return result{outcome: broken, sent: true, front: front.Instance, reason: reasonClientLeft}
	}
	if time.Now().Before(j.limit) {
		c.suspect(time.Now(), front.Instance)
	}
	if exchanger.IsErrNotSent(err) {
		return result{outcome: unreached, front: front.Instance, reason: "not_sent_to_front: " + err.Error()}
	}
	return result{outcome: broken, sent: true, front: front.Instance, reason: "front_lost: " + err.Error()}
}

// ServeHop answers a request that another instance forwarded.
func (c *Forwarder) ServeHop(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	j := &job{}
	if err := j.decodeHop(now, r.Header.Get(HeaderHop)); err != nil {
		http.Error(w, "hop: "+err.Error(), http.StatusBadRequest)
		return
	}
	if c.view.Load() == nil {
		writeHop(w, result{outcome: refused, reason: "front_has_no_configuration", retryAfter: unknownPause})
		return
	}
	if err := j.read(r, maxAnswerBytes); err != nil {
		http.Error(w, "hop: "+err.Error(), http.StatusBadRequest)
		return
	}
	j.id = r.Header.Get(c.names.RequestID)
	j.header.Del(HeaderHop)
	writeHop(w, c.front(r.Context(), j))
}

func writeHop(w http.ResponseWriter, r result) {
	if r.outcome == answered {
		copyAnswer(w, r)
		w.Header().Set(headerOutcome, r.encode())
		w.WriteHeader(r.status)
		_, _ = w.Write(r.body) // the other side sees a short body and takes it for broken
		return
	}
	w.Header().Set(headerOutcome, r.encode())
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}
