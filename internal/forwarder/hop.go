package forwarder

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/allocator"
	"github.com/wasabibank/wasabibank/internal/exchanger"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/partitioner"
	"github.com/wasabibank/wasabibank/internal/quarantiner"
	"github.com/wasabibank/wasabibank/internal/resolver"
)

// Headers of hops, that is, of requests that one instance forwards to another.
const (
	// HeaderHop marks a request that another instance received from a client, and carries that instance's routing decision.
	HeaderHop = "Wasabibank-Hop"
	// headerFingerprints carries the fingerprints of a request that another instance received.
	headerFingerprints = "Wasabibank-Fingerprints"
	// headerCrashes carries what an instance knows about servers that crashed under the request, in a hop and in its answer.
	headerCrashes = "Wasabibank-Crashes"
	// headerOutcome carries the dispatcher's result in the answer to a hop.
	headerOutcome = "Wasabibank-Outcome"
)

// removeInstanceHeaders deletes the headers that only instances send, to each other, from those of a client or a server.
func removeInstanceHeaders(header http.Header) {
	for _, name := range []string{HeaderHop, headerFingerprints, headerCrashes, headerOutcome} {
		header.Del(name)
	}
}

// hopMargin is subtracted from a request's deadline for its dispatcher, to leave time for returning the answer to the
// instance that received the request.
const hopMargin = 10 * time.Millisecond

// hopFieldCount is the number of fields that encodeHop writes.
const hopFieldCount = 13

// resultFieldCount is the number of fields that result.encode writes.
const resultFieldCount = 7

// emptyField is written for an empty field, so that the fields can be split at spaces.
const emptyField = "-"

// encodeHop returns the value of HeaderHop, these fields separated by spaces:
//
//	0 service
//	1 server of the pool
//	2 failure domain
//	3 route
//	4 priority
//	5 whether the request is idempotent
//	6 key
//	7 milliseconds until the latency objective
//	8 milliseconds until the deadline
//	9 term of the owner map version
//	10 sequence of the owner map version
//	11 server to avoid
//	12 subset
func (req *clientRequest) encodeHop(now time.Time) string {
	key := emptyField
	if req.keyed {
		key = strconv.Itoa(int(req.key))
	}
	return fmt.Sprintf("%s %s %s %s %d %t %s %d %d %d %d %s %d", req.pool.Service, encodeField(req.pool.Server),
		req.pool.Domain, spaceEscaper.Replace(req.route), req.priority, req.idempotent, key, req.objective.Sub(now).Milliseconds(),
		req.deadline.Sub(now).Milliseconds(), req.ownerMapVersion.Term, req.ownerMapVersion.Sequence,
		encodeField(req.avoidServer), req.pool.Subset)
}

// The replacers for names that may have spaces, at which the fields are split.
var (
	spaceEscaper   = strings.NewReplacer("%", "%25", " ", "%20")
	spaceUnescaper = strings.NewReplacer("%20", " ", "%25", "%")
)

func encodeField(text string) string {
	if text == "" {
		return emptyField
	}
	return text
}

func decodeField(text string) string {
	if text == emptyField {
		return ""
	}
	return text
}

// decodeHop sets the fields of the request that encodeHop writes.
func (req *clientRequest) decodeHop(now time.Time, text string) error {
	fields := strings.Split(text, " ")
	if len(fields) != hopFieldCount {
		return errors.Errorf("%d fields instead of %d", len(fields), hopFieldCount)
	}
	numbers := make([]int64, len(fields))
	for _, i := range []int{4, 7, 8, 9, 10, 12} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return errors.Wrap(err, "number")
		}
		numbers[i] = n
	}
	req.pool = resolver.ServerPool{
		Service: fields[0], Server: decodeField(fields[1]), Domain: fields[2], Subset: int(numbers[12]),
	}
	req.service, req.route, req.priority, req.idempotent = fields[0], spaceUnescaper.Replace(fields[3]), int(numbers[4]), fields[5] == "true"
	if fields[6] != emptyField {
		key, err := strconv.ParseUint(fields[6], 10, 16)
		if err != nil {
			return errors.Wrap(err, "key")
		}
		req.keyed, req.key = true, uint16(key)
	}
	req.objective = now.Add(time.Duration(numbers[7]) * time.Millisecond)
	req.deadline = now.Add(time.Duration(numbers[8]) * time.Millisecond)
	req.ownerMapVersion = partitioner.Version{Term: uint64(numbers[9]), Sequence: uint64(numbers[10])}
	req.avoidServer = decodeField(fields[11])
	return nil
}

// encode returns the value of headerOutcome, these fields of a result separated by spaces:
//
//	0 outcome
//	1 whether the request may have reached a server
//	2 server
//	3 milliseconds to retry after
//	4 term of the owner map version
//	5 sequence of the owner map version
//	6 reason, which may contain spaces
func (r result) encode() string {
	reason, _, _ := strings.Cut(r.reason, "\n")
	return fmt.Sprintf("%d %t %s %d %d %d %s", r.outcome, r.maybeSent, encodeField(r.server), r.retryAfter.Milliseconds(),
		r.ownerMapVersion.Term, r.ownerMapVersion.Sequence, encodeField(reason))
}

// decode sets the fields that encode writes.
func (r *result) decode(text string) error {
	fields := strings.SplitN(text, " ", resultFieldCount)
	if len(fields) != resultFieldCount {
		return errors.New("outcome has too few fields")
	}
	var numbers [resultFieldCount]uint64
	for _, i := range []int{0, 3, 4, 5} {
		n, err := strconv.ParseUint(fields[i], 10, 63)
		if err != nil {
			return errors.Wrap(err, "number")
		}
		numbers[i] = n
	}
	if numbers[0] > uint64(abandoned) {
		return errors.Errorf("unknown outcome %q", fields[0])
	}
	r.outcome, r.maybeSent, r.server = outcome(numbers[0]), fields[1] == "true", decodeField(fields[2])
	r.retryAfter = time.Duration(numbers[3]) * time.Millisecond
	r.ownerMapVersion = partitioner.Version{Term: numbers[4], Sequence: numbers[5]}
	r.reason = decodeField(fields[6])
	return nil
}

// forwardTo sends the request to its dispatcher, another instance.
func (f *Forwarder) forwardTo(ctx context.Context, req *clientRequest, dispatcher resolver.Member) result {
	now := time.Now()
	f.limitDeadline(req)
	v := f.view.Load()
	connection, err := f.peerConnPool(dispatcher.Address).Acquire(ctx, now, req.deadline)
	if err != nil {
		if ctx.Err() != nil {
			return result{outcome: abandoned, dispatcher: dispatcher.Instance, reason: f.endReason(ctx)}
		}
		if time.Now().Before(req.deadline) { // else the request had too little time to tell
			f.markUnreachable(now, dispatcher.Instance)
		}
		return result{outcome: unreached, dispatcher: dispatcher.Instance, reason: "no_front: " + err.Error()}
	}
	f.meter.Count(meter.RequestsForwarded)
	httpReq := req.newHTTPRequest(dispatcher.Address)
	hop := *req
	hop.deadline = req.deadline.Add(-hopMargin)
	httpReq.Header.Set(HeaderHop, hop.encodeHop(now))
	httpReq.Header.Set(headerFingerprints, req.fingerprints.String())
	f.attachCrashes(now, req, httpReq.Header)
	if req.body.size > allocator.SmallBytes {
		// The dispatcher may refuse it before it has read it all.
		httpReq.Body = exchanger.NewStreamedBody(req.body.reader(), nil)
	}
	// When its client leaves, the dispatcher has to know, also of a request that is not idempotent: it is not sent to a server then. One that
	// is at work at a server is not cancelled there.
	response, err := connection.Do(ctx, httpReq, req.deadline, nil)
	var body payload
	if err == nil {
		body, err = f.readAnswer(req, response.Body)
		response.Close(time.Now(), err == nil)
	}
	if err != nil {
		return f.hopFailure(ctx, req, dispatcher, err)
	}
	r := result{
		status: response.Status, header: response.Header, body: body, toHead: req.method == http.MethodHead,
		dispatcher: dispatcher.Instance,
	}
	if err := r.decode(response.Header.Get(headerOutcome)); err != nil {
		return result{outcome: broken, maybeSent: true, dispatcher: dispatcher.Instance, reason: "front_answered: " + err.Error()}
	}
	response.Header.Del(headerOutcome)
	f.mergeCrashes(time.Now(), req, response.Header)
	r.dispatcher = dispatcher.Instance
	// What the server says about itself holds for this instance too, should it become the dispatcher. The view from
	// before the hop can't have a later incarnation than the one that answered.
	if server, ok := v.Server(r.server); ok && r.outcome == answered {
		f.observeLeaving(server, response.Header)
		f.observeHopLimit(time.Now(), now, server, response.Header)
	}
	return r
}

// hopFailure returns the result of a hop whose dispatcher did not answer.
func (f *Forwarder) hopFailure(ctx context.Context, req *clientRequest, dispatcher resolver.Member, err error) result {
	f.observeInvalidAnswer(req, "instance", dispatcher.Instance, err)
	if reason := f.endReason(ctx); reason != "" {
		return result{outcome: broken, maybeSent: true, dispatcher: dispatcher.Instance, reason: reason}
	}
	if time.Now().Before(req.deadline) && !isNoMemory(err) {
		f.markUnreachable(time.Now(), dispatcher.Instance)
	}
	if exchanger.IsErrNotSent(err) {
		return result{outcome: unreached, dispatcher: dispatcher.Instance, reason: "not_sent_to_front: " + err.Error()}
	}
	return result{outcome: broken, maybeSent: true, dispatcher: dispatcher.Instance, reason: "front_lost: " + err.Error()}
}

// ServeHop dispatches a request that another instance forwarded, and answers it.
func (f *Forwarder) ServeHop(w http.ResponseWriter, r *http.Request) {
	f.hops.Add(1)
	defer func() {
		if f.shuttingDown() { // else the answer is sent only after this function has returned, and the instance may exit before
			_ = http.NewResponseController(w).Flush() // fails only if the connection does
		}
		f.hops.Add(-1)
	}()
	now := time.Now()
	req := &clientRequest{isHop: true}
	if err := req.decodeHop(now, r.Header.Get(HeaderHop)); err != nil {
		limitUnread(w, r, "bad_hop")
		http.Error(w, "hop: "+err.Error(), http.StatusBadRequest)
		return
	}
	if f.view.Load() == nil {
		limitUnread(w, r, "no_configuration")
		writeHopResult(w, declinedResult()) // it has just started; the other instance may use one that has not
		return
	}
	req.setParts(r, f.headers)
	if err := f.readBody(w, r, req, f.hopBodyLimit()); err != nil {
		limitUnread(w, r, newRefusal(err).reason)
		f.refuseHop(w, err)
		return
	}
	defer req.memory.close()
	ctx, release := f.untilExit(r.Context())
	defer release()
	req.id = r.Header.Get(f.headers.RequestID)
	req.header.Del(HeaderHop)
	if fingerprints, err := quarantiner.ParseFingerprints(req.header.Get(headerFingerprints)); err == nil {
		req.fingerprints = fingerprints // an instance of an earlier version sends none
	}
	req.header.Del(headerFingerprints)
	f.mergeCrashes(now, req, req.header)
	res := f.dispatch(ctx, req)
	switch {
	case res.reason == reasonShuttingDown && res.notExecuted():
		res = declinedResult() // the other instance may have time to try another dispatcher
	case res.reason == reasonShuttingDown:
		res.reason = reasonFrontShuttingDown
	}
	f.attachCrashes(time.Now(), req, w.Header())
	f.writeHopAnswer(w, req, res)
}

// hopBodyLimit returns the limit on the body of a request from another instance.
func (f *Forwarder) hopBodyLimit() int64 {
	if v := f.view.Load(); v.Table != nil {
		return max(v.Table.Limits().BodyBytes, minHopBodyBytes)
	}
	return minHopBodyBytes
}

// refuseHop answers a request of another instance whose body could not be read. It was sent to no server.
func (f *Forwarder) refuseHop(w http.ResponseWriter, err error) {
	switch r := newRefusal(err); {
	case errors.Is(err, errShuttingDown):
		writeHopResult(w, declinedResult())
	case r.status == http.StatusServiceUnavailable, r.status == http.StatusRequestTimeout:
		writeHopResult(w, result{outcome: refused, reason: r.reason, retryAfter: r.retryAfter})
	default:
		http.Error(w, "hop: "+err.Error(), http.StatusBadRequest)
	}
}

// writeHopAnswer writes the answer to a hop, with the result in headerOutcome.
func (f *Forwarder) writeHopAnswer(w http.ResponseWriter, req *clientRequest, r result) {
	if r.outcome != answered {
		writeHopResult(w, r)
		return
	}
	copyAnswerHeader(w, r)
	w.Header().Set(headerOutcome, r.encode())
	w.WriteHeader(r.status)
	if err := f.writeBody(w, req, r.body); err != nil { // the other instance reads a short body, and treats the answer as broken
		klog.InfoS("answer to another instance is incomplete", "id", loggable(req.id), "error", err)
	}
}

// writeHopResult writes the answer to a hop that has no answer of a server.
func writeHopResult(w http.ResponseWriter, r result) {
	w.Header().Set(headerOutcome, r.encode())
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}
