package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/wasabibank/wasabibank/internal/emulator"
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/platform"
)

const (
	heartbeat    = 870 * time.Millisecond
	startTimeout = 20 * time.Second
	gracePeriod  = 6 * time.Second
	clientPort   = 7401
	readyPort    = 7402
	peerPort     = 7403
)

// settingsFormat is the settings file of an entry instance: those of a small deployment.
const settingsFormat = `self.node_name=%[1]s
self.ip=%[2]s
self.zone=%[3]s
self.bootstrap=%[5]t
self.limits.cpu_share=1
self.limits.memory_mb=284
self.limits.max_fds=4100
self.limits.link_mbps=1000
network.source_address=%[2]s
network.listen.front=%[2]s:7401
network.listen.ready_address=%[2]s:7402
network.internal_port_range=7403,7418
platform.heartbeat_ms=870
platform.platform.address=%[4]s
terms.contracts=base,drain,config,cost,retry,recover,own,platform
terms.bounds.drain_ms=2000
terms.bounds.grace_period_s=6
terms.bounds.config_apply_ms=2000
terms.bounds.hold_max_ms=10000
terms.bounds.retry_budget_ratio=0.2
terms.bounds.budget_window_s=10
terms.bounds.retry_budget_extra=56
`

// cluster is a small deployment: a store, backend servers and entry instances.
type cluster struct {
	record  *record
	program string
	dir     string // temporary
	block   string // the first three numbers of the addresses of the entry instances
	context context.Context
	end     context.CancelFunc

	store        *http.Server
	storeAddress string
	servers      []*server
	entries      []*entry
}

// entry is an entry instance, a process of its own.
type entry struct {
	name, address, settings string
	command                 *exec.Cmd
	ended                   chan struct{}
	stopped                 time.Time // when it got SIGTERM; zero if it did not
	log                     *os.File
}

// newCluster returns a cluster with a store only.
func newCluster(r *record, program string) (*cluster, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	c := &cluster{record: r, program: program, dir: dir}
	c.context, c.end = context.WithCancel(context.Background())
	store := emulator.NewStore()
	go store.RunExpiry(c.context)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.storeAddress = listener.Addr().String()
	c.store = &http.Server{Handler: store}
	go func() { _ = c.store.Serve(listener) }() // ends with Close
	return c, c.chooseBlock()
}

// chooseBlock chooses addresses on which nobody listens at the ports of entry instances.
func (c *cluster) chooseBlock() error {
	for range 50 {
		block := fmt.Sprintf("127.%d.%d", 130+rand.IntN(100), rand.IntN(250))
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", block, clientPort))
		if err == nil {
			c.block = block
			return listener.Close()
		}
	}
	return errors.New("no free addresses")
}

// publish writes a configuration as the operator does.
func (c *cluster) publish(b *bundler.Bundle) error {
	value, err := platform.EncodeConfig(b)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.context, time.Second)
	defer cancel()
	_, err = platform.NewStore(c.storeAddress).Append(ctx, platform.TopicOperators, platform.KeyConfig, value, platform.AnyOffset)
	c.record.write(time.Now(), "configuration %d written, error %v", b.Version(), err)
	return err
}

// addEntry adds an entry instance in a failure domain, and starts it.
func (c *cluster) addEntry(domain string) error {
	n := len(c.entries) + 1
	e := &entry{name: fmt.Sprintf("entry-%d", n), address: fmt.Sprintf("%s.%d", c.block, n)}
	e.settings = filepath.Join(c.dir, e.name+".conf")
	text := fmt.Sprintf(settingsFormat, e.name, e.address, domain, c.storeAddress, true)
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		return err
	}
	c.entries = append(c.entries, e)
	return c.startEntry(e)
}

// startEntry starts the process of an entry instance with the command of the deploy file.
func (c *cluster) startEntry(e *entry) error {
	log, err := os.OpenFile(filepath.Join(c.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	e.log = log
	e.command = exec.Command(c.program, "entry")
	e.command.Env = append(os.Environ(), platform.SettingsVariable+"="+e.settings)
	e.command.Stdout, e.command.Stderr = log, log
	if err := e.command.Start(); err != nil {
		return err
	}
	e.ended = make(chan struct{})
	c.record.write(time.Now(), "%s starts", e.name)
	go func(ended chan struct{}) {
		err := e.command.Wait()
		c.record.write(time.Now(), "%s has ended: %v", e.name, err)
		close(ended)
	}(e.ended)
	return nil
}

// awaitReady waits until all entry instances are ready.
func (c *cluster) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, e := range c.entries {
			response, err := client.Get(fmt.Sprintf("http://%s:%d%s", e.address, readyPort, platform.ReadyPath))
			if err != nil {
				continue
			}
			_ = response.Body.Close() // nothing is read from it
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(c.entries) {
			return nil
		}
	}
	return errors.New("not all entry instances are ready")
}

// stop ends all processes and stand-ins.
func (c *cluster) stop() {
	for _, e := range c.entries {
		_ = e.command.Process.Signal(syscall.SIGCONT) // fails if it has ended
		_ = e.command.Process.Signal(syscall.SIGTERM)
	}
	for _, e := range c.entries {
		select {
		case <-e.ended:
		case <-time.After(gracePeriod):
			_ = e.command.Process.Kill()
			<-e.ended
		}
		_ = e.log.Close() // only read by hand
	}
	c.end()
	for _, s := range c.servers {
		_ = s.http.Close()
	}
	_ = c.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir) // a temporary folder
	} else {
		fmt.Println("logs in", c.dir)
	}
}
