package faker

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wasabibank/wasabibank/internal/commander"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// rig is a server whose clock a test moves; an execution waits until the test lets it go on.
type rig struct {
	t      *testing.T
	server *Server
	http   *httptest.Server
	goOn   chan struct{}

	mu  sync.Mutex
	now time.Time
}

func newRig(t *testing.T, settings ServerSettings) *rig {
	t.Helper()
	r := &rig{t: t, now: time.Unix(1000, 0), goOn: make(chan struct{})}
	settings.Name, settings.Run, settings.ServiceTime = "render-1", "r1", time.Millisecond
	settings.Clock = Clock{Now: r.present, Sleep: r.sleep}
	r.server = NewServer(settings)
	r.http = httptest.NewServer(r.server)
	t.Cleanup(func() {
		r.server.SetFaults(ServerFaults{})
		r.http.CloseClientConnections()
		r.http.Close()
	})
	return r
}

func (r *rig) present() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now
}

func (r *rig) advance(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.now = r.now.Add(d)
}

func (r *rig) sleep(ctx context.Context, _ time.Duration) {
	select {
	case <-r.goOn:
	case <-ctx.Done():
	}
}

// grant gives the server partition render_desk/7 at epoch 3 under term 5 for ten seconds.
func (r *rig) grant() {
	r.t.Helper()
	id := identifier.PartitionID{Service: "render_desk", Index: 7}
	grant := commander.Grant{Issuer: "a", Term: 5, TTL: 10 * time.Second}
	grant.Echo = r.server.acceptGrant(grant).Nonce
	grant.Partitions = []commander.PartitionGrant{{ID: id, Epoch: 3}}
	if answer := r.server.acceptGrant(grant); !answer.Accepted {
		r.t.Fatalf("grant refused: %s", answer.Refused)
	}
}

// reply is what a request came back with.
type reply struct {
	status  int
	refused string
	sum     string
	body    string
	err     error
}

// send sends a request with the rightful headers, but for those that changed names.
func (r *rig) send(id string, changed map[string]string) reply {
	request, err := http.NewRequest(http.MethodPost, r.http.URL+"/render_desk/k%2F1/orders", strings.NewReader("body"))
	if err != nil {
		return reply{err: err}
	}
	headers := map[string]string{headerPartition: "render_desk/7", headerEpoch: "3", headerTerm: "5", headerDeadline: "5000", headerRequestID: id, headerExchangeID: "exchange-" + id}
	for name, value := range changed {
		headers[name] = value
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, refused: response.Header.Get(headerRefused), sum: response.Header.Get(HeaderBodySum), body: string(body), err: err}
}

func (r *rig) sendLater(id string) <-chan reply {
	replies := make(chan reply, 1)
	go func() { replies <- r.send(id, nil) }()
	return replies
}

// await waits until condition holds of the server's load.
func (r *rig) await(running, queued int) {
	r.t.Helper()
	for range 10_000 {
		r.server.mu.Lock()
		load := r.server.loadLocked()
		r.server.mu.Unlock()
		if load.Running == running && load.Queued == queued {
			return
		}
		time.Sleep(time.Millisecond)
	}
	r.t.Fatalf("load never became %d running, %d queued", running, queued)
}
