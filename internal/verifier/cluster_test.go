package verifier

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
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
	examplesDir    = "../../docs/examples"
	adminTimeout   = 2 * time.Second
	keyedService   = "render_desk"
	unkeyedService = "template_shelf"
	// The ports set in docs/examples/node.conf, and the port of the admin API.
	clientPort, readyPort, peerPort, adminPort = "7401", "7402", "7403", "9464"
)

// clusterSize is the number of processes of each kind in a cluster.
type clusterSize struct {
	entries, keyedServers, unkeyedServers int
	// seeded says that the settings name seeds: entry_1 and one that never runs.
	seeded bool
	// grace is the grace period of the entries; 0 leaves that of the example.
	grace time.Duration
	// memoryMB is the memory of the entries, whose settings then also bound descriptors, to crowdDescriptors unless descriptors is set; 0
	// leaves those of the example.
	memoryMB, descriptors int
	// uneven gives the servers of a service different speeds, and makes every other one name its load.
	uneven bool
	// settings are lines that are added to the settings of the entries.
	settings string
	// addMore, if not nil, adds further servers before the first keys are granted.
	addMore func(c *cluster)
}

// serviceTimes are the mean service times of servers with uneven speeds, from the first on.
var serviceTimes = []string{"5ms", "16ms", "10ms"}

// serverFlags returns the flags of server number i of a service, from 0.
func (size clusterSize) serverFlags(i int) []string {
	if !size.uneven {
		return nil
	}
	return []string{"-service-time", serviceTimes[i%len(serviceTimes)], fmt.Sprintf("-names-load=%t", i%2 == 0)}
}

// defaultSize is the size of the clusters of all tests but the soak.
var defaultSize = clusterSize{entries: 3, keyedServers: 3, unkeyedServers: 1, seeded: true}

// clusterCount counts the clusters of this process. A cluster's number is part of its entries' loopback addresses, so that
// clusters that run in parallel don't share addresses; addressBlock in them separates test processes.
var clusterCount atomic.Int32

// addressBlock is the second number of the loopback addresses of this process's entries.
var addressBlock int

// claimAddressBlock sets addressBlock to a number that no other test process has. The claim lasts until the listener that it
// returns is closed.
func claimAddressBlock() (net.Listener, error) {
	const first, count = 10, 200
	for i := range count {
		block := first + (os.Getpid()+i)%count
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%s", block, adminPort))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		addressBlock = block
		return l, errors.Wrap(err, "claim an address block")
	}
	return nil, errors.New("other test processes have all address blocks")
}

// entry is an entry instance. A restart replaces its process.
type entry struct {
	name, ip     string
	domain       string // failure domain
	settingsPath string
	storeProxy   *proxy // between the entry and the store
	process      *process
	restarted    bool // its settings say that the system does not start for the first time
}

// server is a backend server. A restart replaces its process.
type server struct {
	id      string
	service string
	proxy   *proxy // between all entries and the server
	flags   []string
	process *process
}

// cluster is a set of processes: a store, a collector of executions, backend servers and entries.
type cluster struct {
	t      *testing.T
	dir    string
	number int
	seeded bool // the settings name seeds
	grace  time.Duration
	// memoryMB and descriptors are those of clusterSize.
	memoryMB, descriptors int
	settings              string
	store                 *process
	collector             *process
	servers               []*server // first those with keys
	entries               []*entry  // entry number n is entries[n-1]
	admin                 *inspector.Client
	bundle                *bundler.Bundle
	// bundlePaths are the files of all versions of the bundle.
	bundlePaths []string
	loadCount   int // loads started so far; the run ID of the newest one ends with it
}

// newCluster starts all processes, publishes the example bundle and waits until every entry is ready and every key has an
// owner. keyedServerFlags are added to the command line of the keyed servers.
func newCluster(t *testing.T, size clusterSize, keyedServerFlags ...string) *cluster {
	c := &cluster{t: t, dir: t.TempDir(), number: int(clusterCount.Add(1)), seeded: size.seeded, grace: size.grace, memoryMB: size.memoryMB, descriptors: cmp.Or(size.descriptors, crowdDescriptors), settings: size.settings, admin: inspector.NewClient(adminTimeout)}
	t.Cleanup(c.admin.Close)
	c.store = startStandin(t, "store", "standin", "store")
	c.collector = startStandin(t, "collector", "standin", "collector")
	for i := range size.keyedServers {
		c.addServer(fmt.Sprintf("render_%02d", i+1), keyedService, slices.Concat([]string{"-keyed"}, size.serverFlags(i), keyedServerFlags)...)
	}
	for i := range size.unkeyedServers {
		c.addServer(fmt.Sprintf("shelf_%02d", i+1), unkeyedService, size.serverFlags(i)...)
	}
	if size.addMore != nil {
		size.addMore(c)
	}
	c.publishBundle(nil)
	for range size.entries {
		c.addEntry()
	}
	c.awaitAgreement(c.entries...)
	return c
}

// domains are the failure domains to which entries and servers are assigned in turn.
var domains = []string{"muscat_a", "muscat_b", "muscat_c"}

func (c *cluster) addServer(id, service string, flags ...string) *server {
	c.t.Helper()
	s := &server{id: id, service: service, proxy: newProxy(c.t), flags: flags}
	c.servers = append(c.servers, s)
	s.flags = append(s.flags, "-domain", domains[len(c.servers)%len(domains)], "-seed", strconv.Itoa(len(c.servers)))
	c.startServer(s)
	return s
}

// startServer starts a new incarnation of a server.
func (c *cluster) startServer(s *server) {
	c.t.Helper()
	args := append([]string{"standin", "server", "-id", s.id, "-service", s.service, "-store", c.store.address(),
		"-collect", c.collector.address(), "-advertise", s.proxy.address(), "-service-time", "10ms", "-heartbeat", "300ms",
	}, s.flags...)
	s.process = startStandin(c.t, s.id, args...)
	s.proxy.setTarget(s.process.address())
}

func (c *cluster) addEntry() *entry {
	c.t.Helper()
	n := len(c.entries) + 1
	e := &entry{name: fmt.Sprintf("entry_%d", n), domain: domains[n%len(domains)], storeProxy: newProxy(c.t)}
	e.ip = fmt.Sprintf("127.%d.%d.%d", addressBlock, c.number, n)
	e.storeProxy.setTarget(c.store.address())
	raw, err := os.ReadFile(filepath.Join(examplesDir, "node.conf"))
	must(c.t, err)
	text := strings.NewReplacer("entry_1", e.name, "127.0.0.2", e.ip, "127.0.0.1:7400", e.storeProxy.address(),
		"muscat_a", e.domain).Replace(string(raw))
	text += "network.source_address=" + e.ip + "\n" + c.settings
	if c.seeded {
		text += fmt.Sprintf("network.seeds=127.%[1]d.%[2]d.250:%[3]s,127.%[1]d.%[2]d.1:%[3]s\n", addressBlock, c.number, peerPort)
	}
	if c.grace > 0 {
		text = strings.Replace(text, "grace_period_s=8", fmt.Sprintf("grace_period_s=%.0f", c.grace.Seconds()), 1)
	}
	if c.memoryMB > 0 {
		text = strings.Replace(text, "memory_mb=256", fmt.Sprintf("memory_mb=%d\nself.limits.max_fds=%d", c.memoryMB, c.descriptors), 1)
	}
	e.settingsPath = filepath.Join(c.dir, e.name+".conf")
	must(c.t, os.WriteFile(e.settingsPath, []byte(text), 0o600))
	c.entries = append(c.entries, e)
	c.startEntry(e)
	return e
}

// startEntry starts a new incarnation of an entry.
func (c *cluster) startEntry(e *entry) {
	c.t.Helper()
	if e.process != nil && !e.restarted {
		e.restarted = true
		raw, err := os.ReadFile(e.settingsPath)
		must(c.t, err)
		text := strings.Replace(string(raw), "self.bootstrap=true", "self.bootstrap=false", 1)
		must(c.t, os.WriteFile(e.settingsPath, []byte(text), 0o600))
	}
	e.process = startProcess(c.t, e.name, "entry", "-settings", e.settingsPath)
}

// awaitStarted waits until an entry has logged its start. Before it handles signals, any signal would kill it.
func (c *cluster) awaitStarted(e *entry) {
	c.t.Helper()
	await(c.t, e.name+" has started", func() bool { return e.process.outputContains(`"start"`) })
}

// publishBundle signs and publishes the next version of the example bundle. replacements are pairs of old and new text, as
// for strings.NewReplacer.
func (c *cluster) publishBundle(replacements []string) {
	c.t.Helper()
	raw, err := os.ReadFile(filepath.Join(examplesDir, "shashat", "bundle.yaml"))
	must(c.t, err)
	text := strings.NewReplacer(replacements...).Replace(string(raw))
	if c.bundle != nil {
		lineage := fmt.Sprintf("version: %d\nparent_version: %d\nparent_digest: %q\n",
			c.bundle.Version()+1, c.bundle.Version(), c.bundle.Digest())
		text = strings.Replace(text, "version: 1\n", lineage, 1)
	}
	path := filepath.Join(c.dir, fmt.Sprintf("bundle_%d.yaml", len(c.bundlePaths)+1))
	c.bundlePaths = append(c.bundlePaths, path)
	must(c.t, os.WriteFile(path, []byte(text), 0o600))
	for _, signer := range []string{"salma", "yusuf"} {
		runProgram(c.t, "bundle", "sign", "-signer", signer,
			"-key", filepath.Join(examplesDir, "keys", signer+".key.pem"), path)
	}
	runProgram(c.t, c.publishArgs(path)...)
	bundle, err := bundler.Decode(path, []byte(text))
	must(c.t, err)
	c.bundle = bundle
}

// publishArgs returns the command that publishes a signed bundle.
func (c *cluster) publishArgs(path string) []string {
	return []string{"bundle", "publish", "-timeout", "1m", "-store", c.store.address(),
		"-signers", filepath.Join(examplesDir, "shashat", "signers.yaml"), path}
}

// publishAgain publishes all versions of the bundle again, in order: the store may have lost the newest ones, and rejects
// those that it still has but the newest.
func (c *cluster) publishAgain() {
	c.t.Helper()
	newest := len(c.bundlePaths) - 1
	for _, path := range c.bundlePaths[:newest] {
		_ = exec.Command(binary, c.publishArgs(path)...).Run()
	}
	runProgram(c.t, c.publishArgs(c.bundlePaths[newest])...)
}

// setFaults sets the faults of a stand-in. It ignores the error if the process has exited, since its faults ended with it.
func (c *cluster) setFaults(p *process, faults any) {
	c.t.Helper()
	body, err := json.Marshal(faults)
	must(c.t, err)
	if err := post("http://"+p.address()+"/admin/faults", string(body)); err != nil && !p.hasExited() {
		c.t.Errorf("set faults of %s: %v", p.name, err)
	}
}

// post sends a POST request to the admin API of a stand-in. The error also reports a status other than 200.
func post(url, body string) error {
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	return nil
}

// status returns the status that an entry reports, and false if the entry does not answer.
func (c *cluster) status(e *entry) (inspector.Status, bool) {
	status, err := c.admin.GetStatus(context.Background(), e.ip+":"+adminPort)
	return status, err == nil
}

// awaitAgreement waits until the entries are ready, use the newest bundle and agree on an owner map in which every key has
// an owner and none is moving.
func (c *cluster) awaitAgreement(entries ...*entry) {
	c.t.Helper()
	await(c.t, "the entries agree on an owner for every key", func() bool {
		var first inspector.Status
		for i, e := range entries {
			s, ok := c.status(e)
			if i == 0 {
				first = s
			}
			if !ok || !s.Ready || s.BundleVersion != c.bundle.Version() || s.OwnerMapVersion != first.OwnerMapVersion ||
				!allKeysOwned(s) {
				return false
			}
		}
		return true
	})
}

// allKeysOwned reports whether every key has an owner and none is moving: Status does not count moving keys.
func allKeysOwned(s inspector.Status) bool {
	keys := 0
	for _, server := range s.Servers {
		keys += server.Keys
	}
	return keys == partitioner.MaxKey+1
}

// awaitLeader waits until an entry reports that it is the leader, and returns it.
func (c *cluster) awaitLeader() *entry {
	c.t.Helper()
	var leader *entry
	await(c.t, "an entry is the leader", func() bool {
		for _, e := range c.entries {
			if s, ok := c.status(e); ok && s.IsLeader {
				leader = e
				return true
			}
		}
		return false
	})
	return leader
}

// awaitServerHasNoKeys waits until, according to each of the entries, every key has an owner and the server with this id
// owns none.
func (c *cluster) awaitServerHasNoKeys(id string, entries ...*entry) {
	c.t.Helper()
	await(c.t, id+" owns no keys", func() bool {
		for _, e := range entries {
			s, ok := c.status(e)
			if !ok || !allKeysOwned(s) {
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

// entriesExcept returns all entries except one.
func (c *cluster) entriesExcept(excluded *entry) []*entry {
	var rest []*entry
	for _, e := range c.entries {
		if e != excluded {
			rest = append(rest, e)
		}
	}
	return rest
}

// fetchExecutions returns the executions that the servers have started so far.
func (c *cluster) fetchExecutions() []emulator.Execution {
	c.t.Helper()
	list, err := loadtester.FetchExecutions(context.Background(), []string{c.collector.address()})
	must(c.t, err)
	return list
}

// countExecutions returns how often each request, by its id, was started so far.
func (c *cluster) countExecutions() map[string]int {
	c.t.Helper()
	counts := map[string]int{}
	for _, e := range c.fetchExecutions() {
		counts[e.RequestID]++
	}
	return counts
}

// owner returns the owner of a key according to an entry, and false if the entry does not answer with one.
func (c *cluster) owner(e *entry, key uint16) (inspector.OwnerAnswer, bool) {
	answer, err := c.admin.GetOwner(context.Background(), e.ip+":"+adminPort, keyedService, key)
	return answer, err == nil
}

// isReady reports whether the entry answers the platform's readiness check with 200.
func (e *entry) isReady() bool {
	resp, err := http.Get("http://" + e.ip + ":" + readyPort + platform.ReadyPath)
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}
