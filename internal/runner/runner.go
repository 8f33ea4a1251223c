// Package runner assembles an entry process: one control thread around the deciders, and traffic threads that read
// what it publishes.
package runner

import (
	"context"
	"crypto/tls"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/commander"
	"github.com/wasabibank/wasabibank/internal/configurer"
	"github.com/wasabibank/wasabibank/internal/controller"
	"github.com/wasabibank/wasabibank/internal/detector"
	"github.com/wasabibank/wasabibank/internal/forwarder"
	"github.com/wasabibank/wasabibank/internal/messenger"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/reducer"
	"github.com/wasabibank/wasabibank/internal/router"
	"github.com/wasabibank/wasabibank/internal/tracer"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

const (
	// peerTimeout bounds one exchange with a peer.
	peerTimeout = 500 * time.Millisecond
	// stopTimeout bounds a planned stop.
	stopTimeout = 30 * time.Second
)

// Runner is one entry process.
type Runner struct {
	settings *configurer.Settings
	run      identifier.InstanceID
	table    *router.Table
	meter    *meter.Meter
	ring     *tracer.Ring
	loads    *loadMeter
	roster   atomic.Int64
	forward  *forwarder.Forwarder
	cancels  *canceller
	loop     *loop
	hands    *hands
	ports    *ports
	ctx      context.Context
	serverTL *tls.Config
	clientTL *tls.Config
}

// New returns a Runner that listens on its ports and serves nothing yet.
func New(settings *configurer.Settings) (*Runner, error) {
	r := &Runner{
		settings: settings,
		run:      identifier.InstanceID(settings.Instance() + "-" + strings.ToLower(ulid.Make().String())),
		table:    &router.Table{},
		meter:    meter.New(),
		loads:    newLoadMeter(),
	}
	r.ring = tracer.NewRing(r.run, settings.TimelineEvents())
	if err := r.loadCredentials(); err != nil {
		return nil, err
	}
	ports, err := listen(settings, r.serverTL)
	if err != nil {
		return nil, err
	}
	r.ports = ports
	r.assemble()
	return r, nil
}

func (r *Runner) loadCredentials() error {
	security, ok := r.settings.PeerSecurity().(configurer.MutualTLS)
	if !ok {
		return nil
	}
	credentials, err := messenger.NewCredentials(messenger.CredentialFiles{
		Certificate: security.CertificateFile(),
		Key:         security.KeyFile(),
		Authority:   security.AuthorityFile(),
		PeerName:    security.PeerName(),
	})
	if err != nil {
		return errors.Wrap(err, "peer credentials")
	}
	r.serverTL = credentials.ServerConfig()
	r.clientTL = credentials.ClientConfig()
	return nil
}

func (r *Runner) assemble() {
	servers := commander.NewClient(commander.Timeouts{})
	r.cancels = newCanceller(servers, r.table, r.meter)
	r.forward = forwarder.New(forwarder.Options{
		Table:     r.table,
		Self:      r.run,
		Clock:     time.Now,
		Observer:  observer{meter: r.meter, ring: r.ring, loads: r.loads},
		Canceller: r.cancels,
		PeerTLS:   r.clientTL,
		Entries:   r.countInstances,
		Seed:      uint64(time.Now().UnixNano()),
	})
	control := controller.New(controller.Options{
		Run:         r.run,
		Name:        r.settings.Instance(),
		Domain:      r.settings.Domain(),
		PeerAddress: r.peerAddress(),
		Genesis:     reducer.Genesis{FirstSigners: r.settings.FirstSigners()},
		Table:       r.table,
		Load:        r.loadOf,
		Hot:         r.hotKeys,
	})
	log := newLogClients(r.settings.LogAddresses(), r.settings.Instance())
	peers := messenger.NewClients(peerTimeout, r.clientTL)
	r.hands = newHands(log, servers, peers, r.meter)
	r.loop = newLoop(control, r.hands, r.meter, r.ring)
	r.loop.roster = &r.roster
	r.loop.loads = r.loads
}

// peerAddress returns the address at which other instances reach this one.
func (r *Runner) peerAddress() string {
	if address := r.settings.PeerAdvertisedAddress(); address != "" && !strings.HasSuffix(address, ":0") {
		return address
	}
	return r.ports.peer.Addr().String()
}

// countInstances returns how many instances share the callers' limits.
func (r *Runner) countInstances() int { return max(1, int(r.roster.Load())) }

// loadOf returns the load of a server that this instance fronts.
func (r *Runner) loadOf(now time.Time, server identifier.ServerName) controller.ServerReport {
	r.loads.sample(now, r.forward.Loads)
	return r.loads.report(now, server, r.table.View())
}

// hotKeys returns the keys that take a large share of a server.
func (r *Runner) hotKeys(now time.Time) []detector.HotKey {
	return r.loads.hotKeys(now, r.table.View().Bundle())
}

// Addresses returns the addresses that the process listens on, as one line for people and scripts.
func (r *Runner) Addresses() string {
	return fmt.Sprintf("listening callers=%s peers=%s admin=%s",
		r.ports.caller.Addr(), r.ports.peer.Addr(), r.ports.admin.Addr())
}

// Run serves until stop ends, then hands over what the instance fronts, finishes what is in flight, and returns.
// The error is that of a port which failed.
func (r *Runner) Run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.ctx = ctx
	group, ctx := errgroup.WithContext(ctx)
	r.ring.Add(time.Now(), 0, tracer.KindInstanceStarted, string(r.run), "")
	group.Go(func() error { r.loop.run(ctx); return nil })
	group.Go(func() error { r.hands.runAppends(ctx); return nil })
	group.Go(func() error { r.cancels.run(ctx); return nil })
	group.Go(func() error { r.watchInstances(ctx); return nil })
	group.Go(func() error { return r.ports.serve(r.handlers()) })
	group.Go(func() error {
		defer cancel()
		return r.waitForStop(ctx, stop)
	})
	return group.Wait()
}

// waitForStop carries out a planned stop.
func (r *Runner) waitForStop(ctx, stop context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-stop.Done():
	}
	klog.InfoS("stop requested", "instance", r.run)
	bounded, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	r.loop.post(bounded, controller.StopRequested{})
	select {
	case <-r.loop.stopped:
	case <-bounded.Done():
		klog.InfoS("stop goes on without a full handover", "instance", r.run)
	}
	if err := r.forward.Drain(bounded); err != nil {
		klog.InfoS("requests were still in flight at the end of the stop", "error", err)
	}
	r.ring.Add(time.Now(), 0, tracer.KindInstanceStopped, string(r.run), "")
	return r.ports.shutdown(bounded)
}
