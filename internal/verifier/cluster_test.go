package verifier

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/emulator"
	"github.com/wasabibank/wasabibank/internal/inspector"
	"github.com/wasabibank/wasabibank/internal/loadtester"
	"github.com/wasabibank/wasabibank/internal/partitioner"
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/platform"
)

const (
	examples     = "../../docs/examples"
	askTimeout   = 2 * time.Second
	keyedService = "render_desk"
	plainService = "template_shelf"
	// The ports of docs/examples/node.conf, and that of the admin API.
	clientPort, readyPort, adminPort = "7401", "7402", "9464"
)

// size is how many processes a cluster has.
type size struct{ entries, keyed, plain int }

// usual is the size of a cluster in a row of the table.
var usual = size{entries: 3, keyed: 3, plain: 1}

// clusters numbers the clusters of this process, so that their entries have addresses of their own.
var clusters atomic.Int32

// entry is an entry instance, over its restarts.
type entry struct {
	name, ip string
	settings string
	store    *proxy // between it and the store
	process  *process
}

// server is a backend server, over its restarts.
type server struct {
	id      string
	service string
	front   *proxy // between all entries and it
	flags   []string
	process *process
}

// cluster is a store, a collector of executions, backend servers and entries.
type cluster struct {
	t         *testing.T
	dir       string
	number    int
	store     *process
	collector *process
	servers   []*server
	entries   []*entry
	admin     *inspector.Client
	bundle    *bundler.Bundle
	runs      int
}

// newCluster starts everything and waits until every entry serves. The flags are more flags of the keyed servers.
func newCluster(t *testing.T, s size, flags ...string) *cluster {
	c := &cluster{t: t, dir: t.TempDir(), number: int(clusters.Add(1)), admin: inspector.NewClient(askTimeout)}
	t.Cleanup(c.admin.Close)
	c.store = start(t, "store", "standin", "store")
	c.collector = start(t, "collector", "standin", "collector")
	for i := range s.keyed {
		c.addServer(fmt.Sprintf("render_%02d", i+1), keyedService, append([]string{"-keyed"}, flags...)...)
	}
	for i := range s.plain {
		c.addServer(fmt.Sprintf("shelf_%02d", i+1), plainService)
	}
	c.publish(nil)
	for range s.entries {
		c.addEntry()
	}
	c.awaitOwners(c.entries...)
	return c
}

// domains are the failure domains that entries and servers are spread over.
var domains = []string{"muscat_a", "muscat_b", "muscat_c"}

func (c *cluster) addServer(id, service string, flags ...string) *server {
	c.t.Helper()
	s := &server{id: id, service: service, front: newProxy(c.t), flags: flags}
	c.servers = append(c.servers, s)
	s.flags = append(s.flags, "-domain", domains[len(c.servers)%len(domains)], "-seed", strconv.Itoa(len(c.servers)))
	c.startServer(s)
	return s
}

// startServer starts an incarnation of a server.
func (c *cluster) startServer(s *server) {
	c.t.Helper()
	args := append([]string{"standin", "server", "-id", s.id, "-service", s.service, "-store", c.store.address(),
		"-collect", c.collector.address(), "-advertise", s.front.address(), "-service-time", "10ms", "-heartbeat", "300ms"}, s.flags...)
	s.process = start(c.t, s.id, args...)
	s.front.setTarget(s.process.address())
}

func (c *cluster) addEntry() *entry {
	c.t.Helper()
	n := len(c.entries) + 1
	e := &entry{name: fmt.Sprintf("entry_%d", n), store: newProxy(c.t)}
	e.ip = fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, c.number, n)
	e.store.setTarget(c.store.address())
	raw, err := os.ReadFile(filepath.Join(examples, "node.conf"))
	must(c.t, err)
	text := strings.NewReplacer("entry_1", e.name, "127.0.0.2", e.ip, "127.0.0.1:7400", e.store.address(),
		"muscat_a", domains[n%len(domains)]).Replace(string(raw))
	e.settings = filepath.Join(c.dir, e.name+".conf")
	must(c.t, os.WriteFile(e.settings, []byte(text), 0o600))
	c.entries = append(c.entries, e)
	c.startEntry(e)
	return e
}

// startEntry starts an incarnation of an entry.
func (c *cluster) startEntry(e *entry) {
	c.t.Helper()
	e.process = startQuiet(c.t, e.name, "entry", "-settings", e.settings)
}

// publish signs the next version of the example bundle and brings it into force. Edits are pairs of old and new text.
func (c *cluster) publish(edits []string) {
	c.t.Helper()
	raw, err := os.ReadFile(filepath.Join(examples, "shashat", "bundle.yaml"))
	must(c.t, err)
	text := strings.NewReplacer(edits...).Replace(string(raw))
	if c.bundle != nil {
		lineage := fmt.Sprintf("version: %d\nparent_version: %d\nparent_digest: %q\n", c.bundle.Version()+1, c.bundle.Version(), c.bundle.Digest())
		text = strings.Replace(text, "version: 1\n", lineage, 1)
	}
	path := filepath.Join(c.dir, "bundle.yaml")
	must(c.t, os.WriteFile(path, []byte(text), 0o600))
	for _, signer := range []string{"salma", "yusuf"} {
		run(c.t, "bundle", "sign", "-signer", signer, "-key", filepath.Join(examples, "keys", signer+".key.pem"), path)
	}
	run(c.t, "bundle", "publish", "-timeout", "1m", "-store", c.store.address(),
		"-signers", filepath.Join(examples, "shashat", "signers.yaml"), path)
	bundle, err := bundler.Decode(path, []byte(text))
	must(c.t, err)
	c.bundle = bundle
}

// switchFaults changes the faults of a stand-in. Those of a server that has ended are of no use and left.
func (c *cluster) switchFaults(p *process, faults any) {
	c.t.Helper()
	body, err := json.Marshal(faults)
	must(c.t, err)
	if err := post("http://"+p.address()+"/admin/faults", string(body)); err != nil && !p.over() {
		c.t.Errorf("faults of %s: %v", p.name, err)
	}
}

// post sends a request to the admin port of a stand-in.
func post(url, body string) error {
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.New(response.Status)
	}
	return nil
}

// status returns what an entry knows, and false while it does not answer.
func (c *cluster) status(e *entry) (inspector.Status, bool) {
	status, err := c.admin.GetStatus(context.Background(), e.ip+":"+adminPort)
	return status, err == nil
}

// awaitOwners waits until the entries serve, and agree on a map in which every key has an owner that is not moving.
func (c *cluster) awaitOwners(entries ...*entry) {
	c.t.Helper()
	await(c.t, "owners for all keys", func() bool {
		var first inspector.Status
		for i, e := range entries {
			s, ok := c.status(e)
			if i == 0 {
				first = s
			}
			if !ok || !s.Ready || s.BundleVersion != c.bundle.Version() || s.OwnerMapVersion != first.OwnerMapVersion ||
				!allOwned(s) {
				return false
			}
		}
		return true
	})
}

func allOwned(s inspector.Status) bool {
	keys := 0
	for _, server := range s.Servers {
		keys += server.Keys
	}
	return keys == partitioner.MaxKey+1
}

// leader returns the entry that leads, according to itself.
func (c *cluster) leader() *entry {
	c.t.Helper()
	var leads *entry
	await(c.t, "a leader", func() bool {
		for _, e := range c.entries {
			if s, ok := c.status(e); ok && s.IsLeader {
				leads = e
				return true
			}
		}
		return false
	})
	return leads
}

// awaitOwnsNothing waits until no entry has a server for the owner of a key.
func (c *cluster) awaitOwnsNothing(id string, entries ...*entry) {
	c.t.Helper()
	await(c.t, id+" owns nothing", func() bool {
		for _, e := range entries {
			s, ok := c.status(e)
			if !ok || !allOwned(s) {
				return false
			}
			for _, server := range s.Servers {
				if server.ID == id && server.Keys > 0 {
					return false
				}
			}
		}
		return true
	})
}

// others returns the entries but for one.
func (c *cluster) others(but *entry) []*entry {
	var rest []*entry
	for _, e := range c.entries {
		if e != but {
			rest = append(rest, e)
		}
	}
	return rest
}

// executions returns what the servers have begun to run.
func (c *cluster) executions() []emulator.Execution {
	c.t.Helper()
	list, err := loadtester.FetchExecutions(context.Background(), []string{c.collector.address()})
	must(c.t, err)
	return list
}

// owner returns the owner of a key as an entry has it.
func (c *cluster) owner(e *entry, key uint16) (inspector.OwnerAnswer, bool) {
	answer, err := c.admin.GetOwner(context.Background(), e.ip+":"+adminPort, keyedService, key)
	return answer, err == nil
}

// ready asks an entry as the platform does.
func (e *entry) ready() bool {
	response, err := http.Get("http://" + e.ip + ":" + readyPort + platform.ReadyPath)
	if err != nil {
		return false
	}
	return response.Body.Close() == nil && response.StatusCode == http.StatusOK
}
