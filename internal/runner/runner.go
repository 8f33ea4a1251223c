// Package runner assembles an entry instance on the users' platform and runs it from start to graceful shutdown: its
// listeners, its control plane (package controller) and its data plane (package forwarder).
package runner

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/admitter"
	"github.com/wasabibank/wasabibank/internal/controller"
	"github.com/wasabibank/wasabibank/internal/drainer"
	"github.com/wasabibank/wasabibank/internal/forwarder"
	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/internal/inspector"
	"github.com/wasabibank/wasabibank/internal/limiter"
	"github.com/wasabibank/wasabibank/internal/logger"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/queuer"
	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/internal/resolver"
	"github.com/wasabibank/wasabibank/internal/throttler"
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/platform"
)

const (
	// drainMargin is subtracted from the time within which a draining server must get no more requests. It covers the delay
	// until the instances know that the server drains, up to that of a failure domain that reads the store through others: one
	// call and the pauses of package controller (batchDelay, relayWait, relayMargin), which sum up to 1.25 s. The delay is longer
	// while the relay of a domain reaches neither the store nor most other instances.
	drainMargin = 1300 * time.Millisecond
	// headerTimeout bounds the time to read the header of a request, for clients unless the configuration does.
	headerTimeout = 10 * time.Second
	// headerMargin is added to the configuration's timeout of a header, which clients measure on their side: the time for a lost segment
	// and its retransmission.
	headerMargin = 500 * time.Millisecond
	// idleTimeout is how long idle connections are kept, for clients unless the configuration has a value. Clients reuse theirs for a
	// shorter time, so that no request is lost on a connection that this instance closes.
	idleTimeout = 60 * time.Second
	// defaultHeaderBytes bounds the header of a client's request while there is no configuration.
	defaultHeaderBytes = 64 << 10
	// maxHeaderBytes bounds the header of a client's request whatever the configuration says. A bundle has at most the same.
	maxHeaderBytes = 1 << 20
	// peerHeaderBytes is how many bytes a request from another instance may have beyond the limit for clients, for further headers.
	peerHeaderBytes = 64 << 10
	// adminPort is the port of counters, status and timeline, as given in deploy/system.toml.
	adminPort = "9464"
	// memoryLimitRatio is the Go runtime's soft memory limit as a fraction of the memory that the instance may use. Near
	// the soft limit, garbage is collected more often.
	memoryLimitRatio = 0.7
	// bufferedRatio is the part of the memory that the bodies of requests and answers may take together. Seven eighths of it hold a body of
	// 64 MiB on a machine of 184 MB. With 35 MB for the rest it stays under memoryLimitRatio on machines of 120 MB or more, so that the
	// garbage collector can keep the process there.
	bufferedRatio = 0.4
	// connectionBytes is about what an open connection takes: its buffers, its goroutine and its socket.
	connectionBytes = 20 << 10
	// connectionMemoryRatio is the part of the memory that clients' connections may take, as much again their headers, and the same for
	// other instances.
	connectionMemoryRatio = 0.125
	// The parts of the descriptors that the connections of clients and of other instances may take. The rest is for connections to servers
	// and instances.
	clientDescriptorRatio = 0.5
	peerDescriptorRatio   = 0.25
	// maxOtherConnections bounds the connections for readiness checks, and those for the admin API.
	maxOtherConnections = 64
	// refusalInterval is the time between two log lines about connections to one port that were closed to stay within the limits.
	refusalInterval = time.Second
	// receiveFraction is the part of the memory, as one in so many, that the receive buffer of a connection may take while a large body is
	// being read. The 32 buffers that package drainer allows, twice as large as the system counts them, are a sixteenth of the memory.
	receiveFraction = 1024
	// messageTimeout bounds the time for the body of a message from another instance.
	messageTimeout = 10 * time.Second
	// messageType is the content type of messages from other instances. Messages in JSON, which package herald could decode too, would take
	// memory that DecodedBytes doesn't know.
	messageType = "application/protobuf"
	// reasonHeaderStalled says that the header of a request did not arrive in time.
	reasonHeaderStalled = "header_stalled"
	// millicoresPerMbps converts the bandwidth of a machine's link to capacity, for machines whose link is the bottleneck.
	millicoresPerMbps = 16
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
	shutdown   admitter.Plan // of the shutdown, once it has begun
}

// BodyBytes returns the bytes that the bodies of requests and answers may take together in an instance with so much memory, which is in
// units of 2^20 bytes.
func BodyBytes(memoryMB int) int64 { return int64(float64(memoryMB) * (1 << 20) * bufferedRatio) }

// New returns a Runner that has not been started. log is the writer of its log, and events holds its latest events. New also
// sets the soft memory limit of the process.
func New(s platform.Settings, log *logger.AsyncWriter, events *recorder.Ring) *Runner {
	debug.SetMemoryLimit(int64(float64(s.MemoryMB) * (1 << 20) * memoryLimitRatio))
	names := forwarder.HeaderNames{
		RequestID: platform.HeaderRequestID, TimeLeft: platform.HeaderTimeLeft, Target: platform.HeaderTarget,
		Signature: platform.HeaderSignature, NotExecuted: platform.HeaderNotExecuted, ShardKey: platform.HeaderKey,
		Leaving: platform.HeaderLeaving, LeavingValue: platform.LeavingValue, Limit: platform.HeaderLimit,
		Instance: platform.HeaderServer, Warmup: platform.HeaderWarmup,
		Load: platform.HeaderLoad,
	}
	budget := limiter.New(limiter.Settings{
		Ratio: s.Bounds.RetryBudgetRatio, Extra: s.Bounds.RetryBudgetExtra, Window: s.Bounds.RetryBudgetWindow,
	})
	counters := meter.New()
	dataPlane := forwarder.New(names, budget, counters)
	dataPlane.SetSourceIP(net.ParseIP(s.SourceAddress))
	dataPlane.LimitBuffers(BodyBytes(s.MemoryMB))
	dataPlane.SetQueueing(queuer.Settings{
		Reservation: s.HasContract(platform.ContractPressure), AdaptiveLimits: s.HasContract(platform.ContractPressure),
	})
	dataPlane.SetColdRule(throttler.ColdRule{Overage: s.Bounds.WarmupOverage, Tolerance: s.Bounds.WarmupTolerance})
	self := resolver.Member{
		Instance: s.Instance, Incarnation: uint64(time.Now().UnixNano()),
		Address: net.JoinHostPort(s.Address, fmt.Sprint(s.PeerPort)), Domain: s.Domain,
		Capacity: capacity(s),
	}
	controlPlane := controller.New(controller.Options{
		Self: self, Store: platform.NewStore(s.StoreAddress), Forwarder: dataPlane, Meter: counters,
		DrainTimeout: s.Bounds.DrainTimeout - drainMargin, MaxRangeLeaseDuration: s.Bounds.MaxLeaseDuration,
		SourceIP:   net.ParseIP(s.SourceAddress),
		FirstStart: s.FirstStart, Seeds: seedAddresses(s), HeartbeatInterval: s.HeartbeatInterval,
		EvacuateTimeout: s.Bounds.EvacuateTimeout,
	})
	return &Runner{settings: s, forwarder: dataPlane, controller: controlPlane, meter: counters, log: log, events: events}
}

// seedAddresses returns where the seeds are reached, or nil if this instance is one. The ports are the same on all machines.
func seedAddresses(s platform.Settings) []string {
	var addresses []string
	for _, host := range s.Seeds {
		if host == s.Address {
			return nil
		}
		addresses = append(addresses, net.JoinHostPort(host, fmt.Sprint(s.PeerPort)))
	}
	return addresses
}

// capacity returns the capacity of a machine in thousandths of a core, which weights it against other machines.
func capacity(s platform.Settings) int {
	return max(1, int(min(s.CPUShare*1000, s.LinkMbps*millicoresPerMbps)))
}

// Run serves until stop is done, and then shuts down gracefully: requests in flight may complete within the grace period.
// The error is that of a listener or of a server.
func (r *Runner) Run(stop context.Context) error {
	klog.InfoS("start", "instance", r.settings.Instance, "domain", r.settings.Domain, "clients", r.settings.ClientAddress)
	if bound := r.settings.Bounds.ConfigApplyTimeout; bound < controller.MaxConfigDelay {
		klog.InfoS("configurations may be applied later than the settings demand", "bound", bound,
			"delay", controller.MaxConfigDelay)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	serveErrors := make(chan error, 4)                                            // one for each server
	clients := &http.Server{Handler: r.forwarder, MaxHeaderBytes: maxHeaderBytes} // its timeouts are in clientLimits
	peers := &http.Server{
		Handler: r.peerHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes + peerHeaderBytes,
	}
	ready := &http.Server{Handler: r.readyHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	admin := &http.Server{Handler: r.adminHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	peerAddress := net.JoinHostPort(r.settings.Address, fmt.Sprint(r.settings.PeerPort))
	drainers := map[*http.Server]*drainer.Drainer{}
	// The addresses must differ: of servers with the same address only one would be started.
	for address, server := range map[string]*http.Server{
		r.settings.ClientAddress: clients, peerAddress: peers, r.settings.ReadyAddress: ready,
		net.JoinHostPort(r.settings.Address, adminPort): admin,
	} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		connections := drainer.New(listener, server)
		drainers[server] = connections
		switch server {
		case clients:
			connections.SetLimits(r.clientLimits())
		case peers:
			connections.SetLimits(r.peerLimits(address))
		default:
			connections.SetLimits(drainer.Limits{Connections: maxOtherConnections, OnRefuse: r.observeRefusals(address)})
		}
		go func() { serveErrors <- server.Serve(connections) }()
	}
	go r.controller.Run(ctx)
	select {
	case err := <-serveErrors:
		return err
	case <-stop.Done():
	}
	r.shutDown(drainers[clients], drainers[peers])
	klog.InfoS("stop")
	return nil
}

// LogDeadline returns until when to wait at now, after Run, for the output of the log: less than the grace period after the
// shutdown was requested, or after now if Run has ended with an error.
func (r *Runner) LogDeadline(now time.Time) time.Time {
	if !r.stopping.Load() {
		return admitter.NewPlan(now, r.settings.Bounds.GracePeriod).LogWritten()
	}
	return r.shutdown.LogWritten()
}

// clientLimits returns the limits on the connections of clients. Those of the configuration apply as soon as it is in force.
func (r *Runner) clientLimits() drainer.Limits {
	limits := r.connectionLimits(r.settings.ClientAddress, clientDescriptorRatio)
	limits.HeaderLimit = r.clientHeaderBytes
	limits.Timeouts = r.clientTimeouts
	limits.OnHeaderRefused = func(status int) {
		r.meter.Count(meter.RequestsReceived)
		r.meter.Count(meter.RequestsNotRun)
		if status == http.StatusRequestTimeout {
			r.meter.CountRefusal(reasonHeaderStalled)
			return
		}
		r.meter.CountRefusal(forwarder.ReasonHeaderTooLarge)
	}
	return limits
}

// peerLimits returns the limits on the connections of other instances, whose configuration may be another one.
func (r *Runner) peerLimits(address string) drainer.Limits {
	limits := r.connectionLimits(address, peerDescriptorRatio)
	limits.HeaderLimit = func() int { return max(defaultHeaderBytes, r.clientHeaderBytes()) + peerHeaderBytes }
	return limits
}

// configuredLimits returns the limits on clients' requests of the configuration in force; without one they are zero.
func (r *Runner) configuredLimits() bundler.Limits {
	if v := r.forwarder.View(); v != nil && v.Table != nil {
		return v.Table.Limits()
	}
	return bundler.Limits{}
}

// clientHeaderBytes returns the size in bytes that the header of a client's request may have.
func (r *Runner) clientHeaderBytes() int {
	if configured := r.configuredLimits().HeaderBytes; configured > 0 {
		return min(configured, maxHeaderBytes)
	}
	return defaultHeaderBytes
}

// clientTimeouts returns the timeouts between two requests of a client.
func (r *Runner) clientTimeouts() drainer.Timeouts {
	configured := r.configuredLimits()
	timeouts := drainer.Timeouts{Header: headerTimeout, Idle: idleTimeout}
	if configured.HeaderTimeout > 0 {
		timeouts.Header = configured.HeaderTimeout + headerMargin
	}
	if configured.IdleTimeout > 0 {
		timeouts.Idle = configured.IdleTimeout
	}
	return timeouts
}

// connectionLimits returns the limits on the connections of clients, or of other instances, which may take a part of the descriptors.
func (r *Runner) connectionLimits(address string, descriptorRatio float64) drainer.Limits {
	memory := connectionMemoryRatio * float64(r.settings.MemoryMB) * (1 << 20)
	connections := memory / connectionBytes
	if descriptors := r.settings.MaxDescriptors; descriptors > 0 {
		connections = min(connections, descriptorRatio*float64(descriptors))
	}
	return drainer.Limits{
		Connections: max(1, int(connections)), HeaderMemory: int64(memory), ReceiveBuffer: r.settings.MemoryMB << 20 / receiveFraction,
		OnRefuse: r.observeRefusals(address),
	}
}

// observeRefusals returns a function that counts the connections to an address that are closed to stay within the limits, and logs them,
// at most one in refusalInterval.
func (r *Runner) observeRefusals(address string) func(drainer.Refusal) {
	var mu sync.Mutex
	var logged time.Time
	unlogged := 0
	return func(refusal drainer.Refusal) {
		r.meter.Count(meter.ConnectionsRefused)
		switch refusal.Reason {
		case drainer.ReasonHeader, drainer.ReasonBody, drainer.ReasonAnswer:
			r.meter.Count(meter.ConnectionsStalled)
		}
		now := time.Now()
		mu.Lock()
		defer mu.Unlock()
		if now.Sub(logged) < refusalInterval {
			unlogged++
			return
		}
		klog.InfoS("connection closed to stay within the limits", "address", address, "remote", refusal.Remote, "reason", refusal.Reason,
			"others", unlogged)
		logged, unlogged = now, 0
	}
}

// shutDown announces that this instance is leaving, waits until it gets no new connections, and then for its requests in
// flight, all within the grace period of the platform. Those that are not answered by then are refused or fail before the exit.
// Other instances may send requests and messages until all clients are answered.
func (r *Runner) shutDown(clients, peers *drainer.Drainer) {
	klog.InfoS("shutdown requested")
	now := time.Now()
	plan := admitter.NewPlan(now, r.settings.Bounds.GracePeriod)
	r.shutdown = plan
	r.stopping.Store(true)
	r.forwarder.BeginShutdown(now, plan.LastAnswer())
	r.controller.AnnounceLeaving()
	time.Sleep(time.Until(plan.CloseIdle()))
	untilExit, cancel := context.WithDeadline(context.Background(), plan.Exit())
	defer cancel()
	// Ends at the last answer, or as soon as all clients are answered.
	peersNeeded, releasePeers := context.WithDeadline(context.Background(), plan.LastAnswer())
	defer releasePeers()
	var peersDrained sync.WaitGroup
	peersDrained.Go(func() {
		peers.CloseIdle(peersNeeded)
		drain(untilExit, peers, "instances")
		finishAnswers(peers, "instances", plan)
	})
	whileAccepting, cancel := context.WithDeadline(context.Background(), plan.StopAccepting())
	defer cancel()
	clients.CloseIdle(whileAccepting)
	drain(untilExit, clients, "clients")
	// Requests that other instances forwarded may still wait in the queues of this instance.
	r.forwarder.Drain(untilExit)
	r.controller.Drain(untilExit)
	releasePeers()
	finishAnswers(clients, "clients", plan)
	peersDrained.Wait()
	r.forwarder.LogUnanswered(time.Now())
}

// drain closes a listener, and its connections once they are idle, until ctx ends.
func drain(ctx context.Context, d *drainer.Drainer, callers string) {
	if err := d.Drain(ctx); err != nil {
		klog.InfoS("draining connections failed", "callers", callers, "error", err)
	}
}

// finishAnswers waits until all answers that are being written have been received, or until the last time that the plan allows.
func finishAnswers(d *drainer.Drainer, callers string, plan admitter.Plan) {
	lastByte, cancel := context.WithDeadline(context.Background(), plan.LastByte())
	defer cancel()
	if err := d.FinishAnswers(lastByte); err != nil {
		klog.InfoS("answers were not received completely", "callers", callers, "error", err)
	}
}

// readyHandler answers the platform's readiness checks.
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

// adminHandler serves the admin API for operators: counters, status, owners of keys and the timeline.
func (r *Runner) adminHandler() http.Handler {
	metrics := http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		running, waiting := r.forwarder.RequestCounts()
		r.meter.Set(meter.RequestsRunning, int64(running))
		r.meter.Set(meter.RequestsWaiting, int64(waiting))
		r.meter.Set(meter.LogLinesDropped, r.log.Dropped())
		r.meter.ServeHTTP(w, request)
	})
	return inspector.NewHandler(r, metrics)
}

// Status implements inspector.Source.
func (r *Runner) Status(ctx context.Context) (inspector.Status, error) {
	status, err := r.controller.Status(ctx)
	status.Ready = r.ready()
	status.Running, status.Waiting = r.forwarder.RequestCounts()
	return status, err
}

// Owner implements inspector.Source.
func (r *Runner) Owner(service string, key uint16) (inspector.OwnerAnswer, error) {
	return controller.FindOwner(r.forwarder.View(), service, key)
}

// Timeline implements inspector.Source.
func (r *Runner) Timeline() recorder.InstanceEvents {
	return r.events.InstanceEvents(time.Now(), r.settings.Instance)
}

// ready reports whether this instance accepts requests: it has a view of the system and is not shutting down.
func (r *Runner) ready() bool { return !r.stopping.Load() && r.forwarder.Ready() }

// peerHandler answers other instances: requests that they forward, and messages between instances. While this instance stops, its
// answers ask them not to use their connections again.
func (r *Runner) peerHandler() http.Handler {
	messages := herald.NewHeraldServer(r.controller)
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if r.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		switch {
		case request.Header.Get(forwarder.HeaderHop) != "":
			r.forwarder.ServeHop(w, request)
		case strings.HasPrefix(request.URL.Path, messages.PathPrefix()):
			if request.Header.Get("Content-Type") != messageType {
				w.WriteHeader(http.StatusUnsupportedMediaType)
				return
			}
			method := strings.TrimPrefix(request.URL.Path, messages.PathPrefix())
			release, err := r.forwarder.HoldMessage(w, request, controller.MaxPeerMessageBytes, messageTimeout,
				func(message []byte) int64 { return herald.DecodedBytes(method, message) })
			if err != nil {
				klog.InfoS("message from an instance refused", "length", request.ContentLength, "error", err)
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			defer release()
			messages.ServeHTTP(w, request)
		default:
			http.NotFound(w, request)
		}
	})
}
