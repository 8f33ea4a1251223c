package prover

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/wasabibank/wasabibank/internal/faker"
	"github.com/wasabibank/wasabibank/internal/loader"
	"github.com/wasabibank/wasabibank/internal/presenter"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

const (
	examples      = "../../docs/examples"
	askTimeout    = 2 * time.Second
	entryCount    = 3
	service       = identifier.ServiceName("render_desk")
	lostServer    = identifier.ServerName("render_02")
	lostEntry     = 1
	bundleServers = 3
)

// cluster is a log, an instance list, a collector of executions, three backend servers and three entries.
type cluster struct {
	t         *testing.T
	dir       string
	log       *process
	roster    *process
	collector *process
	servers   map[identifier.ServerName]*process
	entries   []*process
	admin     *presenter.Client
	runs      int
	started   int
}

// newCluster starts everything, brings the bundle into force and waits until every entry serves. The flags are more
// flags of the servers.
func newCluster(t *testing.T, flags ...string) *cluster {
	c := &cluster{t: t, dir: t.TempDir(), servers: map[identifier.ServerName]*process{}}
	c.admin = presenter.NewClient(askTimeout)
	t.Cleanup(c.admin.Close)
	c.log = start(t, "log", "standin", "log")
	c.roster = start(t, "roster", "standin", "roster")
	c.collector = start(t, "collector", "standin", "collector")
	for i := range bundleServers {
		name := fmt.Sprintf("render_0%d", i+1)
		args := append([]string{"standin", "server", "-name", name, "-collect", c.collector.address(),
			"-service-time", "10ms", "-seed", strconv.Itoa(i + 1)}, flags...)
		c.servers[identifier.ServerName(name)] = start(t, name, args...)
	}
	for range entryCount {
		c.startEntry()
	}
	c.publish(c.bundleText())
	c.awaitReady(c.entries)
	c.awaitService()
	return c
}

// startEntry starts one more entry under a name of its own.
func (c *cluster) startEntry() *process {
	c.started++
	name := fmt.Sprintf("entry_%d", c.started)
	path := filepath.Join(c.dir, name+".yaml")
	raw, err := os.ReadFile(filepath.Join(examples, "local", "entry_1.yaml"))
	must(c.t, err)
	text := regexp.MustCompile(`127\.0\.0\.1:74[123]1`).ReplaceAllString(string(raw), "127.0.0.1:0")
	text = strings.ReplaceAll(text, "127.0.0.1:7400", c.log.address())
	text = strings.ReplaceAll(text, "127.0.0.1:7401", c.roster.address())
	text = strings.ReplaceAll(text, "instance: entry_1", "instance: "+name)
	must(c.t, os.WriteFile(path, []byte(text), 0o600))
	p := start(c.t, name, "entry", "-settings", path)
	c.entries = append(c.entries, p)
	return p
}

// bundleText returns the example bundle with the servers of this cluster.
func (c *cluster) bundleText() string {
	raw, err := os.ReadFile(filepath.Join(examples, "local", "bundle.yaml"))
	must(c.t, err)
	text, _, _ := strings.Cut(string(raw), "  - name: template_shelf")
	for i := range bundleServers {
		name := fmt.Sprintf("render_0%d", i+1)
		text = strings.ReplaceAll(text, fmt.Sprintf("127.0.0.1:744%d", i+1), c.servers[identifier.ServerName(name)].address())
	}
	return text
}

// publish signs a bundle and brings it into force.
func (c *cluster) publish(text string) {
	path := filepath.Join(c.dir, "bundle.yaml")
	must(c.t, os.WriteFile(path, []byte(text), 0o600))
	for _, signer := range []string{"salma", "yusuf"} {
		run(c.t, "bundle", "sign", "-signer", signer, "-key", filepath.Join(examples, "keys", signer+".key.pem"), path)
	}
	run(c.t, "bundle", "publish", "-settings", filepath.Join(c.dir, "entry_1.yaml"), path)
}

// publishLeaving publishes the next bundle, in which a server leaves, and waits until it is in force on every entry.
func (c *cluster) publishLeaving(name identifier.ServerName) {
	c.t.Helper()
	status, ok := c.status(c.entries[0])
	if !ok {
		c.t.Fatal("no status")
	}
	version := fmt.Sprintf("version: 2\nparent_version: 1\nparent_digest: %s\n", status.Bundle.Digest)
	text := strings.Replace(c.bundleText(), "version: 1\n", version, 1)
	server := fmt.Sprintf("      - name: %s\n", name)
	c.publish(strings.Replace(text, server, server+"        leaving: true\n", 1))
	await(c.t, "version 2 in force", func() bool {
		return c.all(c.entries, func(s presenter.Status) bool { return s.Bundle.Version == 2 })
	})
}

// countExecutions returns how many requests a server has begun to execute.
func (c *cluster) countExecutions(name identifier.ServerName) int {
	c.t.Helper()
	executions, err := loader.Fetch(context.Background(), []string{c.servers[name].address()})
	must(c.t, err)
	return len(executions)
}

// status returns what an entry knows, and false while it does not answer.
func (c *cluster) status(p *process) (presenter.Status, bool) {
	status, err := c.admin.GetStatus(context.Background(), p.addresses["admin"])
	return status, err == nil
}

// all reports whether every entry answers and fits.
func (c *cluster) all(entries []*process, fits func(presenter.Status) bool) bool {
	for _, p := range entries {
		if status, ok := c.status(p); !ok || !fits(status) {
			return false
		}
	}
	return true
}

func (c *cluster) awaitReady(entries []*process) {
	c.t.Helper()
	await(c.t, "entries ready", func() bool {
		return c.all(entries, func(s presenter.Status) bool { return s.Ready.Ready })
	})
}

// awaitLease waits until the leases of the entries rest on what is given.
func (c *cluster) awaitLease(state presenter.LeaseState, entries ...*process) {
	c.t.Helper()
	await(c.t, "leases "+string(state), func() bool {
		return c.all(entries, func(s presenter.Status) bool { return s.Lease.State == state })
	})
}

// awaitGone waits until no entry has an instance of that name on its roster.
func (c *cluster) awaitGone(name string, entries []*process) {
	c.t.Helper()
	await(c.t, name+" gone from the roster", func() bool {
		return c.all(entries, func(s presenter.Status) bool { return !onRoster(s, name) })
	})
}

func onRoster(s presenter.Status, name string) bool {
	for _, m := range s.Roster {
		if m.Name == name {
			return true
		}
	}
	return false
}

// awaitExpelled waits until the entries hold every instance of that name to be expelled or gone.
func (c *cluster) awaitExpelled(name string, entries []*process) {
	c.t.Helper()
	await(c.t, name+" expelled", func() bool {
		return c.all(entries, func(s presenter.Status) bool {
			for _, m := range s.Roster {
				if m.Name == name && !m.Expelled {
					return false
				}
			}
			return true
		})
	})
}

// awaitEmpty waits until the server owns nothing.
func (c *cluster) awaitEmpty(name identifier.ServerName, entries []*process) {
	c.t.Helper()
	await(c.t, string(name)+" owns nothing", func() bool {
		return c.all(entries, func(s presenter.Status) bool {
			for _, server := range s.Servers {
				if server.Name == name {
					return server.Partitions == 0
				}
			}
			return false
		})
	})
}

// awaitServer waits until the entry that fronts the server holds it to be in a state.
func (c *cluster) awaitServer(name identifier.ServerName, state string, entries []*process) {
	c.t.Helper()
	await(c.t, string(name)+" "+state, func() bool {
		for _, p := range entries {
			status, _ := c.status(p)
			for _, server := range status.Servers {
				if server.Name == name && server.Front == status.Instance && server.State == state {
					return true
				}
			}
		}
		return false
	})
}

// others returns the entries but for one.
func (c *cluster) others(but int) []*process {
	var rest []*process
	for i, p := range c.entries {
		if i != but {
			rest = append(rest, p)
		}
	}
	return rest
}

// setLog switches faults of the log.
func (c *cluster) setLog(faults faker.LogFaults) {
	c.t.Helper()
	body, err := json.Marshal(faults)
	must(c.t, err)
	response, err := http.Post("http://"+c.log.address()+"/admin/faults", "application/json", bytes.NewReader(body))
	must(c.t, err)
	must(c.t, response.Body.Close())
	if response.StatusCode != http.StatusOK {
		c.t.Fatalf("faults of the log: %s", response.Status)
	}
}

// owners returns the owner of each key as an entry has it.
func (c *cluster) owners(p *process, keys int) []identifier.ServerName {
	c.t.Helper()
	var owners []identifier.ServerName
	for i := range keys {
		answer, err := c.admin.GetOwner(context.Background(), p.addresses["admin"], service, fmt.Sprintf("key-%d", i))
		must(c.t, err)
		owners = append(owners, answer.Server)
	}
	return owners
}

// living returns the entries whose processes run.
func (c *cluster) living() []*process {
	var running []*process
	for _, p := range c.entries {
		select {
		case <-p.ended:
		default:
			running = append(running, p)
		}
	}
	return running
}
