package emulator

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/querier"
	"github.com/wasabibank/wasabibank/platform"
)

const (
	// missedBeats is after how many missing heartbeats the store drops an entry.
	missedBeats = 3
	// beatTimeout bounds one heartbeat.
	beatTimeout = time.Second
	// maxBeatAnswer bounds the answer to a heartbeat.
	maxBeatAnswer = 4 << 10
)

// Registrar keeps the entry of a backend server in a Store.
type Registrar struct {
	server  *Server
	store   string
	address string
	every   time.Duration
	client  *querier.Client
}

// NewRegistrar returns a Registrar of server, which is reached at address, with the store at store.
func NewRegistrar(server *Server, store, address string, every time.Duration) *Registrar {
	return &Registrar{
		server: server, store: store, address: address, every: every,
		client: querier.NewClient(querier.Settings{AnswerTimeout: beatTimeout, MaxAnswerBytes: maxBeatAnswer}),
	}
}

// Run sends heartbeats until ctx ends.
func (r *Registrar) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.SendHeartbeat(ctx); err != nil && ctx.Err() == nil {
			klog.InfoS("heartbeat failed", "server", r.server.settings.ID, "error", err)
		}
		pause(ctx, r.every)
	}
}

// SendHeartbeat sends one heartbeat.
func (r *Registrar) SendHeartbeat(ctx context.Context) error {
	entry, err := platform.EncodeServer(r.server.Entry(r.address))
	if err != nil {
		return err
	}
	return r.post(ctx, entry)
}

// Remove takes the entry out of the store.
func (r *Registrar) Remove(ctx context.Context) error { return r.post(ctx, nil) }

func (r *Registrar) post(ctx context.Context, entry []byte) error {
	var answer struct{}
	beat := Heartbeat{ID: r.server.settings.ID, Entry: entry, TTLMS: (missedBeats * r.every).Milliseconds()}
	return r.client.Post(ctx, "http://"+r.store+"/admin/servers", beat, &answer)
}
