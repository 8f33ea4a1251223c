package runner

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/platform"
)

// TestStartSharesNoMapWithServers guards against an instance that ends at its start with "concurrent map read and map write".
// The race detector reports it.
func TestStartSharesNoMapWithServers(t *testing.T) {
	is := is.New(t)
	r := New(platform.Settings{
		Instance: "a", Address: "127.83.0.1", PeerPort: 7703, ClientAddress: "127.83.0.1:7701", ReadyAddress: "127.83.0.1:7702",
		MemoryMB: 1024, CPUShare: 1, LinkMbps: 100, StoreAddress: "127.83.0.1:7704",
		Bounds: platform.Bounds{GracePeriod: time.Second},
	}, nil, &recorder.Ring{})
	stop, cancel := context.WithCancel(t.Context())
	cancel()
	is.NoErr(r.Run(stop))
}
