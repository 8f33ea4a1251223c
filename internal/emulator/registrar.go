package emulator

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/querier"
	"github.com/wasabibank/wasabibank/platform"
)

const (
	// ttlIntervals is the number of heartbeat intervals without a heartbeat after which the store removes a registration.
	ttlIntervals = 3
	// heartbeatTimeout bounds a heartbeat and its answer.
	heartbeatTimeout = time.Second
	// maxHeartbeatAnswerBytes bounds the body of the answer to a heartbeat.
	maxHeartbeatAnswerBytes = 4 << 10
)

// Registrar keeps a backend server registered with a Store. Use NewRegistrar.
type Registrar struct {
	server       *Server
	storeAddress string
	address      string
	interval     time.Duration
	client       *querier.Client
}

// NewRegistrar returns a Registrar that registers server, whose address for requests is address, with the Store at
// storeAddress and sends a heartbeat at each interval.
func NewRegistrar(server *Server, storeAddress, address string, interval time.Duration) *Registrar {
	return &Registrar{
		server: server, storeAddress: storeAddress, address: address, interval: interval,
		client: querier.NewClient(querier.Settings{
			AnswerTimeout: heartbeatTimeout, MaxAnswerBytes: maxHeartbeatAnswerBytes,
		}),
	}
}

// Run sends heartbeats until ctx is done. A failed heartbeat is logged, and the next one follows after the interval.
func (r *Registrar) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.SendHeartbeat(ctx); err != nil && ctx.Err() == nil {
			klog.InfoS("heartbeat failed", "server", r.server.settings.ID, "error", err)
		}
		pause(ctx, r.interval)
	}
}

// SendHeartbeat sends one heartbeat with the server's current registration. It returns an error if the
// registration can't be encoded or the store doesn't accept the heartbeat.
func (r *Registrar) SendHeartbeat(ctx context.Context) error {
	registration, err := platform.EncodeServer(r.server.Registration(r.address))
	if err != nil {
		return err
	}
	return r.post(ctx, registration)
}

// Remove removes the registration from the store.
func (r *Registrar) Remove(ctx context.Context) error { return r.post(ctx, nil) }

// post sends a heartbeat with an encoded registration; an empty one removes the server.
func (r *Registrar) post(ctx context.Context, registration []byte) error {
	var answer struct{}
	heartbeat := Heartbeat{
		ID: r.server.settings.ID, Registration: registration, TTLMS: (ttlIntervals * r.interval).Milliseconds(),
	}
	return r.client.Post(ctx, "http://"+r.storeAddress+"/admin/servers", heartbeat, &answer)
}
