// Package runner assembles an entry instance that runs on the users' platform: its ports, its control side and its
// traffic side, from start to planned stop.
package runner

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/controller"
	"github.com/wasabibank/wasabibank/internal/drainer"
	"github.com/wasabibank/wasabibank/internal/forwarder"
	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/internal/inspector"
	"github.com/wasabibank/wasabibank/internal/limiter"
	"github.com/wasabibank/wasabibank/internal/logger"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/internal/resolver"
	"github.com/wasabibank/wasabibank/platform"
)

const (
	// leaveFor is how long a stopping instance goes on taking connections: the platform asks for readiness once a second
	// and takes an instance out of rotation after two misses, and what it has sent by then has to be read by a slow machine.
	leaveFor = 3200 * time.Millisecond
	// exitMargin is kept of the time until SIGKILL.
	exitMargin = 500 * time.Millisecond
	// drainMargin is kept of the time in which a leaving server may still get requests: for the way of the news where a whole
	// failure domain has to read through others (elsewherePause, readRetryMax and gather of package controller: 1.25 s, and
	// the call).
	drainMargin = 1200 * time.Millisecond
	// headerTimeout bounds the head of a request; the platform's clients send theirs within 3 s.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long idle connections are kept, longer than clients reuse them.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 64 << 10
	// adminPort is where counters, status and timeline are shown, as deploy/system.toml says.
	adminPort = "9464"
	// memoryShare is the part of the memory limit at which garbage is collected harder.
	memoryShare = 0.7
)

// Runner is one entry instance. Use New and Run.
type Runner struct {
	settings   platform.Settings
	forwarder  *forwarder.Forwarder
	controller *controller.Controller
	meter      *meter.Meter
	log        *logger.AsyncWriter
	events     *recorder.Ring
	stopping   atomic.Bool
}

// New returns an instance that does not run yet. Its log is written by log, and its newest events are in events.
func New(s platform.Settings, log *logger.AsyncWriter, events *recorder.Ring) *Runner {
	debug.SetMemoryLimit(int64(float64(s.MemoryMB) * (1 << 20) * memoryShare))
	names := forwarder.HeaderNames{
		RequestID: platform.HeaderRequestID, TimeLeft: platform.HeaderTimeLeft, Target: platform.HeaderTarget,
		Signature: platform.HeaderSignature, NotRun: platform.HeaderNotRun, Key: platform.HeaderKey,
	}
	budget := limiter.New(limiter.Settings{
		Ratio: s.Bounds.RetryBudgetRatio, Extra: s.Bounds.RetryBudgetExtra, Window: s.Bounds.RetryBudgetWindow,
	})
	counters := meter.New()
	traffic := forwarder.New(names, budget, counters)
	self := resolver.Member{
		Instance: s.Instance, Incarnation: uint64(time.Now().UnixNano()),
		Address: net.JoinHostPort(s.Address, fmt.Sprint(s.PeerPort)), Domain: s.Domain,
		Capacity: capacity(s),
	}
	control := controller.New(controller.Options{
		Self: self, Store: platform.NewStore(s.StoreAddress), Forwarder: traffic, Meter: counters,
		DrainTimeout: s.Bounds.DrainTimeout - drainMargin, MaxLeaseDuration: s.Bounds.MaxLeaseDuration,
	})
	return &Runner{settings: s, forwarder: traffic, controller: control, meter: counters, log: log, events: events}
}

// perMegabit is how many thousandths of a core one megabit a second of a machine's link is worth, where the link is the
// scarcer of the two.
const perMegabit = 16

// capacity returns what a machine can carry beside the others, in thousandths of a core.
func capacity(s platform.Settings) int {
	return max(1, int(min(s.CPUShare*1000, s.LinkMbps*perMegabit)))
}

// Run serves until stop ends, then stops without cutting what is in flight.
func (r *Runner) Run(stop context.Context) error {
	klog.InfoS("start", "instance", r.settings.Instance, "domain", r.settings.Domain, "clients", r.settings.ClientAddress)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 4)
	clients := &http.Server{Handler: r.forwarder, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	peers := &http.Server{Handler: r.peerHandler(), IdleTimeout: idleTimeout, MaxHeaderBytes: 2 * maxHeaderBytes}
	ready := &http.Server{Handler: r.readyHandler(), IdleTimeout: idleTimeout}
	admin := &http.Server{Handler: r.adminHandler(), IdleTimeout: idleTimeout}
	peerAddress := net.JoinHostPort(r.settings.Address, fmt.Sprint(r.settings.PeerPort))
	var drain *drainer.Drainer
	for address, server := range map[string]*http.Server{
		r.settings.ClientAddress: clients, peerAddress: peers, r.settings.ReadyAddress: ready,
		net.JoinHostPort(r.settings.Address, adminPort): admin,
	} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		if server == clients {
			drain = drainer.New(listener, clients)
			listener = drain
		}
		go func() { failed <- server.Serve(listener) }()
	}
	go r.controller.Run(ctx)
	select {
	case err := <-failed:
		return err
	case <-stop.Done():
	}
	r.leave(drain)
	klog.InfoS("stop")
	return nil
}

// leave ends the work of this instance within the time that the platform grants.
func (r *Runner) leave(clients *drainer.Drainer) {
	klog.InfoS("stop requested")
	due := time.Now().Add(r.settings.Bounds.GracePeriod - exitMargin)
	r.stopping.Store(true)
	r.forwarder.DisableKeepAlives()
	r.controller.AnnounceLeaving()
	time.Sleep(leaveFor)
	ctx, cancel := context.WithDeadline(context.Background(), due)
	defer cancel()
	if err := clients.Drain(ctx); err != nil {
		klog.InfoS("requests were in flight at the end", "error", err)
	}
	// The other instances may still have requests under way to servers that this one fronts.
	r.forwarder.Drain(ctx)
}

// readyHandler answers the platform's question whether this instance takes new connections.
func (r *Runner) readyHandler() http.Handler {
	routes := mux.NewRouter()
	routes.HandleFunc(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !r.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	}).Methods(http.MethodGet)
	return routes
}

// adminHandler serves operators: counters, status, owners of keys and the timeline.
func (r *Runner) adminHandler() http.Handler {
	counters := http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		running, waiting := r.forwarder.RequestCounts()
		r.meter.Set(meter.RequestsRunning, int64(running))
		r.meter.Set(meter.RequestsWaiting, int64(waiting))
		r.meter.Set(meter.LogLinesDropped, r.log.Dropped())
		r.meter.ServeHTTP(w, request)
	})
	return inspector.NewHandler(r, counters)
}

// Status implements presenter.Source.
func (r *Runner) Status(ctx context.Context) (inspector.Status, error) {
	status, err := r.controller.Status(ctx)
	status.Ready = r.ready()
	status.Running, status.Waiting = r.forwarder.RequestCounts()
	return status, err
}

// Owner implements presenter.Source.
func (r *Runner) Owner(service string, key uint16) (inspector.OwnerAnswer, error) {
	return controller.FindOwner(r.forwarder.View(), service, key)
}

// Timeline implements presenter.Source.
func (r *Runner) Timeline() recorder.Page { return r.events.Page(time.Now(), r.settings.Instance) }

// ready reports whether this instance takes new connections.
func (r *Runner) ready() bool { return !r.stopping.Load() && r.forwarder.Ready() }

// peerHandler answers other instances: requests that they pass on, and control messages.
func (r *Runner) peerHandler() http.Handler {
	control := herald.NewHeraldServer(r.controller)
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		switch {
		case request.Header.Get(forwarder.HeaderHop) != "":
			r.forwarder.ServeHop(w, request)
		case strings.HasPrefix(request.URL.Path, control.PathPrefix()):
			control.ServeHTTP(w, request)
		default:
			http.NotFound(w, request)
		}
	})
}
