package forwarder

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/wasabibank/wasabibank/internal/limiter"
	"github.com/wasabibank/wasabibank/internal/router"
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

const (
	maxKeyBytes     = 1024
	maxNameBytes    = 128 // caller's name and request id
	maxTimeout      = 24 * time.Hour
	defaultDeadline = time.Minute
)

// request is one request under way in this instance.
type request struct {
	w       http.ResponseWriter
	r       *http.Request
	attempt context.Context // of the present attempt; ends when its route is replaced
	entry   identifier.InstanceID

	id       string
	caller   identifier.CallerName
	service  bundler.Service
	class    bundler.Class
	rawKey   string
	key      string // decoded once
	rest     string // raw, with its leading slash
	arrived  time.Time
	deadline time.Time
	body     body
	life     Life
	fromPeer bool
	values   [slotCount]string // of headers
}

// newRequest returns a request with its id and names; the rest is filled in by parse.
func (f *Forwarder) newRequest(w http.ResponseWriter, r *http.Request, now time.Time) *request {
	id := r.Header.Get(headerRequestID)
	if id == "" || len(id) > maxNameBytes {
		id = f.nextID()
	}
	return &request{w: w, r: r, entry: f.self, id: id, arrived: now}
}

// nextID returns a request id that no other instance gives.
func (f *Forwarder) nextID() string {
	return string(f.self) + "-" + strconv.FormatUint(f.lastID.Add(1), 36)
}

// context returns the context of the present attempt while nothing of it has been sent.
func (q *request) context() context.Context {
	if q.attempt != nil {
		return q.attempt
	}
	return q.r.Context()
}

// exchangeContext returns the context of an exchange. One that may not be repeated ends with its caller only.
func (q *request) exchangeContext() context.Context {
	if q.class.Idempotent() {
		return q.context()
	}
	return q.r.Context()
}

// callerGone reports whether the caller has gone.
func (q *request) callerGone() bool { return q.r.Context().Err() != nil }

// step applies s to the life of the request. An impossible step is a fault of this program.
func (q *request) step(s Step) {
	next, err := q.life.Apply(s)
	if err != nil {
		panic(err)
	}
	q.life = next
}

// parse fills in what path, headers and bundle say; ok is false when v refuses the request.
func (q *request) parse(view *router.View) (v verdict, ok bool) {
	if v, ok = q.parsePath(); !ok {
		return v, false
	}
	service, err := view.GetServiceByName(identifier.ServiceName(mux.Vars(q.r)["service"]))
	if err != nil {
		return noService(err), false
	}
	q.service = service
	if v, ok = q.parseClass(); !ok {
		return v, false
	}
	if v, ok = q.parseNames(); !ok {
		return v, false
	}
	if q.r.ContentLength > q.class.BodyBytes() {
		return tooLarge(q.class), false
	}
	q.life = NewLife(q.class.Idempotent())
	return verdict{}, true
}

func (q *request) parsePath() (verdict, bool) {
	vars := mux.Vars(q.r)
	q.rawKey = vars["key"]
	if len(q.rawKey) > maxKeyBytes {
		return verdict{reason: ReasonBadKey, message: "the key is longer than 1024 bytes"}, false
	}
	key, err := url.PathUnescape(q.rawKey)
	if err != nil {
		return verdict{reason: ReasonBadKey, message: "the key is not percent-encoded: " + err.Error()}, false
	}
	q.key = key
	if rest, ok := vars["rest"]; ok {
		q.rest = "/" + rest
	}
	return verdict{}, true
}

// parseClass finds the class. A path whose encoded and decoded forms are of two classes is refused, for the server may
// decode it.
func (q *request) parseClass() (verdict, bool) {
	decoded, err := url.PathUnescape(q.rest)
	if err != nil {
		return verdict{reason: ReasonBadPath, message: "the path is not percent-encoded: " + err.Error()}, false
	}
	class, ok := q.service.ClassFor(q.r.Method, q.rest)
	if !ok {
		return verdict{reason: ReasonMethodNotAllowed, message: "no class of the service takes this method and path"}, false
	}
	if decoded != q.rest {
		other, ok := q.service.ClassFor(q.r.Method, decoded)
		if !ok || other.Name() != class.Name() {
			return verdict{reason: ReasonBadPath, message: "the path is encoded so that its class is open"}, false
		}
	}
	q.class = class
	return verdict{}, true
}

func (q *request) parseNames() (verdict, bool) {
	caller := q.r.Header.Get(headerCaller)
	if len(caller) > maxNameBytes || len(q.r.Header.Get(headerRequestID)) > maxNameBytes {
		return verdict{reason: ReasonBadHeader, message: "caller and request id have at most 128 bytes"}, false
	}
	q.caller = identifier.CallerName(caller)
	return verdict{}, true
}

// parseTimeout sets the deadline from the caller's header and the class.
func (q *request) parseTimeout() (verdict, bool) {
	timeout := q.class.Deadline()
	if timeout <= 0 {
		timeout = defaultDeadline
	}
	if text := q.r.Header.Get(headerTimeout); text != "" {
		asked, err := time.ParseDuration(text)
		if err != nil || asked <= 0 || asked > maxTimeout {
			return verdict{reason: ReasonBadTimeout, message: "the timeout must be a duration such as 1.5s, above 0 and up to 24h"}, false
		}
		timeout = min(timeout, asked)
	}
	q.deadline = q.arrived.Add(timeout)
	return verdict{}, true
}

func noService(err error) verdict {
	var missing router.ErrNoRoute
	if asNoRoute(err, &missing) && missing.Reason() == "no_such_service" {
		return verdict{reason: ReasonNoSuchService, message: "the bundle in force has no such service"}
	}
	return verdict{reason: ReasonNoRoute, message: "no bundle is in force yet", retryAfter: time.Second}
}

func tooLarge(class bundler.Class) verdict {
	limit := strconv.FormatInt(class.BodyBytes(), 10)
	return verdict{reason: ReasonBodyTooLarge, message: "the class takes bodies of up to " + limit + " bytes"}
}

// queued returns the request as its server's queue sees it.
func (q *request) queued() limiter.Request {
	return limiter.Request{
		Class:    q.class.Name(),
		Priority: q.class.Priority(),
		MayWait:  q.class.MayWait(),
		Deadline: q.deadline,
	}
}

// repeatKey returns what a repeat of the request would have too.
func (q *request) repeatKey() limiter.RequestKey {
	return limiter.RequestKey{Service: q.service.Name(), Key: q.key, Caller: q.caller, ID: q.id}
}

// noUserAgent keeps Request.Write from naming one of its own.
var noUserAgent = []string{""}

// outgoing returns the request to send under path. It shares the headers of the request that came in.
func (q *request) outgoing(host, prefix string) *http.Request {
	path := prefix + "/" + string(q.service.Name()) + "/" + q.rawKey + q.rest
	out := &http.Request{
		Method: q.r.Method,
		URL:    &url.URL{Opaque: path, RawQuery: q.r.URL.RawQuery, ForceQuery: q.r.URL.ForceQuery},
		Host:   host,
		Header: q.r.Header,
	}
	q.set(out.Header, slotID, headerRequestID, q.id)
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = noUserAgent
	}
	q.body.attach(out, q)
	return out
}
