package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/wasabibank/wasabibank/platform"
)

const (
	binary       = "target/wasabibank"
	standin      = "target/review-standin"
	clientPort   = "7401"
	readyPort    = "7402"
	internalPort = "7403"
	adminPort    = "9464"
	// memoryMB is the memory of an entry instance, as in the users' site files.
	memoryMB = 284
	// startTimeout bounds the wait until the instances are ready.
	startTimeout = 25 * time.Second
	pollInterval = 50 * time.Millisecond
	// probeTimeout is the time limit of the requests that find out whether the instances serve.
	probeTimeout = 4 * time.Second
	// stopTimeout is how long a process may take to end after SIGTERM.
	stopTimeout = 7 * time.Second
	// heartbeatInterval is how often servers write their registrations.
	heartbeatInterval = 500 * time.Millisecond
)

// cluster is the store's stand-in, entry instances and servers.
type cluster struct {
	record  *record
	dir     string
	store   *exec.Cmd
	address string // of the store
	block   net.Listener
	prefix  string // of the instances' addresses
	entries []*entry
	ledger  ledger
	servers []*server
	closing sync.Mutex
}

// entry is an entry instance.
type entry struct {
	name, ip string
	mu       sync.Mutex
	process  *exec.Cmd
	exited   chan struct{} // closed when process has ended
}

func newCluster(recordPath string) (*cluster, error) {
	r, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &cluster{record: r, dir: dir}
	c.ledger.record = r
	if err := c.claimAddresses(); err != nil {
		return nil, err
	}
	return c, c.startStore()
}

// claimAddresses finds a block of loopback addresses that no other run uses.
func (c *cluster) claimAddresses() error {
	const first, count = 10, 200
	start := rand.IntN(count)
	for i := range count {
		prefix := fmt.Sprintf("127.%d.77.", first+(start+i)%count)
		listener, err := net.Listen("tcp", prefix+"1:"+adminPort)
		if err == nil {
			c.prefix, c.block = prefix, listener
			return nil
		}
	}
	return errors.New("no free block of loopback addresses")
}

func (c *cluster) startStore() error {
	c.store = exec.Command(standin, "standin", "store")
	output, err := c.store.StdoutPipe()
	if err != nil {
		return err
	}
	if err := c.store.Start(); err != nil {
		return err
	}
	line, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		return err
	}
	c.address = strings.TrimSpace(strings.TrimPrefix(line, "listening "))
	go func() { _, _ = io.Copy(io.Discard, output) }()
	return nil
}

// route is a route of the configuration; all have the same host.
type route struct {
	prefix, kind, service string
}

// publish writes the configuration to the store.
func (c *cluster) publish(services []string, routes []route) error {
	const timeout = 4 * time.Second
	return c.publishWithTimeout(services, routes, timeout)
}

// publishWithTimeout is publish with a timeout of all routes.
func (c *cluster) publishWithTimeout(services []string, routes []route, timeout time.Duration) error {
	var serviceList, paths []map[string]any
	for _, name := range services {
		serviceList = append(serviceList, map[string]any{
			"name": name, "health_check_path": "/health", "max_connections": 120, "sharded": name == deskService, "warm_s": 2.0,
		})
	}
	for i, r := range routes {
		paths = append(paths, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "path_prefix": r.prefix, "type": r.kind, "timeout_ms": timeout.Milliseconds(), "target_latency_ms": 600,
			"priority": 1, "service": r.service, "max_attempts": 2,
		})
	}
	value, err := json.Marshal(map[string]any{
		"version": "00000007", "services": serviceList, "hosts": []any{map[string]any{"host": requestHost, "paths": paths}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
	if err != nil {
		return err
	}
	_, err = platform.NewStore(c.address).Append(
		context.Background(), platform.TopicOperators, platform.KeyConfig, value, platform.AnyOffset)
	return err
}

// settingsText is the settings file of an instance; the arguments are its name, address, domain, whether the system starts for
// the first time, and the address of the store.
const settingsText = `self.node_name=%[1]s
self.role=entry
self.machine_class=front
self.serves=front,control
self.ip=%[2]s
self.zone=%[3]s
self.bootstrap=%[4]t
self.limits.cpu_share=0.32
self.limits.cpu_cores=1
self.limits.memory_mb=%[6]d
self.limits.max_fds=4100
self.limits.link_mbps=1000.0
network.listen.front=%[2]s:7401
network.listen.ready_address=%[2]s:7402
network.internal_port_range=7403,7418
platform.heartbeat_ms=500
platform.platform.address=%[5]s
terms.bounds.stability_window_ms=3000
terms.bounds.drain_ms=2000
terms.bounds.grace_period_s=6
terms.bounds.config_apply_ms=2000
terms.bounds.hold_max_ms=10000
terms.bounds.retry_budget_ratio=0.2
terms.bounds.budget_window_s=10
terms.bounds.retry_budget_extra=60
`

// zones are the failure domains of instances and servers.
var zones = []string{"glasgow", "edinburgh", "aberdeen"}

// addEntry starts a new entry instance.
func (c *cluster) addEntry() error {
	n := len(c.entries)
	e := &entry{name: fmt.Sprintf("front-%d", n+1), ip: fmt.Sprintf("%s%d", c.prefix, n+2)}
	c.entries = append(c.entries, e)
	return c.startEntry(e, true)
}

// startEntry starts a process of an entry instance, with the command of the deploy file.
func (c *cluster) startEntry(e *entry, firstStart bool) error {
	index := 0
	for i, other := range c.entries {
		if other == e {
			index = i
		}
	}
	path := filepath.Join(c.dir, e.name+".conf")
	text := fmt.Sprintf(settingsText, e.name, e.ip, zones[index%len(zones)], firstStart, c.address, memoryMB)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(c.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	process := exec.Command(binary, "entry")
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.dir, platform.SettingsVariable + "=" + path}
	process.Stdout, process.Stderr = logFile, logFile
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	e.mu.Lock()
	e.process, e.exited = process, exited
	e.mu.Unlock()
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	return nil
}

// current returns the present process of an instance.
func (e *entry) current() (process *exec.Cmd, exited <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process, e.exited
}

// ready reports whether an instance answers the readiness check with 200.
func (e *entry) ready() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + net.JoinHostPort(e.ip, readyPort) + "/-/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// awaitServing waits until all instances are ready and each answers requests for some keys.
func (c *cluster) awaitServing(path string) error {
	const probes = 3
	deadline := time.Now().Add(startTimeout)
	for _, e := range c.entries {
		for answered := 0; answered < probes; {
			if time.Now().After(deadline) {
				return errors.New("the instances are not ready in time")
			}
			a := send(request{
				entry: e, method: http.MethodPost, path: path, id: fmt.Sprintf("probe-%s-%d", e.name, rand.Uint64()),
				key: answered * keyCount / probes, timeout: probeTimeout,
			})
			if e.ready() && a.status == http.StatusOK {
				answered++
				continue
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// close ends all processes that the cluster has started.
func (c *cluster) close() {
	c.closing.Lock() // stays locked: a cluster is closed once
	for _, e := range c.entries {
		if process, _ := e.current(); process != nil {
			_ = process.Process.Signal(syscall.SIGTERM)
		}
	}
	for _, e := range c.entries {
		process, exited := e.current()
		if process == nil {
			continue
		}
		select {
		case <-exited:
		case <-time.After(stopTimeout):
			_ = process.Process.Kill()
			<-exited
		}
	}
	for _, s := range c.servers {
		s.stop()
	}
	if c.store != nil && c.store.Process != nil {
		_ = c.store.Process.Kill()
		_ = c.store.Wait()
	}
	_ = c.block.Close()
	c.record.close()
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs:", c.dir)
	}
}
