package verifier

import (
	"errors"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/wasabibank/wasabibank/platform"
)

// cut is how an entry instance is cut off from a server.
type cut int

const (
	cutNone      cut = iota
	cutSilent        // no packet arrives, in either direction
	cutToServers     // no packet of the entry arrives; answers that are on their way do
	cutReset         // open and new connections are reset
	cutNew           // open connections live on, and new ones are reset
)

// String names the cut in the action log of a soak.
func (c cut) String() string {
	return [...]string{"none", "silent", "to servers", "reset", "new connections"}[c]
}

// setCut cuts the connections from a source IP address, or ends the cut.
func (p *proxy) setCut(source string, c cut) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c == cutNone {
		delete(p.cuts, source)
	} else {
		p.cuts[source] = c
	}
	close(p.changed)
	p.changed = make(chan struct{})
	dropped := []string{}
	for ip, kind := range p.cuts {
		if kind.dropsPackets() {
			dropped = append(dropped, ip)
		}
	}
	if err := dropPackets(p.listener.(*net.TCPListener), dropped...); err != nil {
		return err
	}
	for conn := range p.openConns {
		if sourceOf(conn) != source {
			continue
		}
		if c == cutReset {
			_ = conn.SetLinger(0)
			_ = conn.Close()
			delete(p.openConns, conn)
			continue
		}
		var sources []string
		if c.dropsPackets() {
			sources = append(sources, source)
		}
		if err := dropPackets(conn, sources...); err != nil && !errors.Is(err, net.ErrClosed) {
			return err
		}
	}
	return nil
}

func (c cut) dropsPackets() bool { return c == cutSilent || c == cutToServers }

// sourceOf returns the IP address of the other side of a connection.
func sourceOf(conn *net.TCPConn) string { return conn.RemoteAddr().(*net.TCPAddr).IP.String() }

// admitConn resets a new connection and returns false if its source is cut off from new connections.
func (p *proxy) admitConn(conn *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.cuts[sourceOf(conn)]; c != cutReset && c != cutNew {
		return true
	}
	_ = conn.SetLinger(0)
	return false
}

// awaitPath waits until bytes can be sent to a source that is cut off. It returns false if the connection must be closed.
func (p *proxy) awaitPath(source *net.TCPConn) bool {
	for {
		p.mu.Lock()
		c, changed, open := p.cuts[sourceOf(source)], p.changed, p.openConns[source]
		p.mu.Unlock()
		if !open {
			return false
		}
		if c != cutSilent {
			return true
		}
		<-changed
	}
}

// dropPackets makes the kernel drop the TCP segments that reach a socket from some IP addresses, and no others. Connections
// that a listener accepts inherit its filter.
func dropPackets(socket syscall.Conn, sources ...string) error {
	const (
		networkHeader = 0xfff00000 // SKF_NET_OFF of Linux, -0x100000: offsets from the IP header
		sourceOffset  = 12         // of the source address in the IP header
		acceptAll     = 0xffffffff
	)
	filter := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: networkHeader + sourceOffset}}
	for _, source := range sources {
		ip := net.ParseIP(source).To4()
		address := uint32(ip[0])<<24 | uint32(ip[1])<<16 | uint32(ip[2])<<8 | uint32(ip[3])
		filter = append(filter, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: address},
			unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K})
	}
	filter = append(filter, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: acceptAll})
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var attachErr error
	err = raw.Control(func(fd uintptr) {
		attachErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	return errors.Join(err, attachErr)
}

// cutOff cuts entries off from all backend servers, or ends the cut.
func (c *cluster) cutOff(kind cut, entries ...*entry) {
	c.t.Helper()
	for _, s := range c.servers {
		for _, e := range entries {
			must(c.t, s.proxy.setCut(e.ip, kind))
		}
	}
}

// stabilityWindow is the time after which instances that are cut off have to serve as well as others.
const stabilityWindow = 3 * time.Second

// cutCases are the cases of TestClientsOfInstancesWithoutServersAreServed, by name.
var cutCases = map[string]struct {
	kind cut
	// choose returns the entries to cut off.
	choose func(c *cluster) []*entry
	// further happens beside the cut.
	further func(c *cluster)
}{
	"silent, leader and two more":      {kind: cutSilent, choose: leaderAndMore},
	"to servers, leader and two more":  {kind: cutToServers, choose: leaderAndMore},
	"reset, leader and two more":       {kind: cutReset, choose: leaderAndMore},
	"no new ones, leader and two more": {kind: cutNew, choose: leaderAndMore},
	"silent, all but one":              {kind: cutSilent, choose: func(c *cluster) []*entry { return c.entries[1:] }},
	"silent, a failure domain": {kind: cutSilent, choose: func(c *cluster) []*entry {
		return []*entry{c.entries[0], c.entries[3]}
	}},
	"silent, server killed": {kind: cutSilent, choose: leaderAndMore, further: func(c *cluster) {
		c.servers[0].process.kill(c.t)
	}},
}

func leaderAndMore(c *cluster) []*entry {
	leader := c.awaitLeader()
	return append([]*entry{leader}, c.entriesExcept(leader)[:2]...)
}

// TestClientsOfInstancesWithoutServersAreServed guards against instances that keep leading, dispatching or refusing although
// they have lost their paths to all servers and others have not.
func TestClientsOfInstancesWithoutServersAreServed(t *testing.T) {
	for name, tc := range cutCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, clusterSize{entries: 5, keyedServers: 4, unkeyedServers: 3, seeded: true})
			c.awaitAllAnswered()
			before := c.startLoad(c.entries, 1, 5*requestsPerSecond)
			before.awaitSent(requestsPerSecond)
			cutOff := tc.choose(c)
			c.cutOff(tc.kind, cutOff...)
			if tc.further != nil {
				tc.further(c)
				c.awaitServerHasNoKeys(c.servers[0].id, others(c, cutOff)...)
			}
			time.Sleep(stabilityWindow)
			there := c.startFirstTries(cutOff, 2, 3*requestsPerSecond)
			elsewhere := c.startFirstTries(others(c, cutOff), 3, 3*requestsPerSecond)
			for _, l := range []*load{there, elsewhere} {
				report := c.verifyLoad(l)
				failed := report.Sent - report.Answered
				is.True(failed <= report.Sent/50) // first tries that may fail
			}
			c.cutOff(cutNone, cutOff...)
			c.verifyLoad(before)
			c.awaitAllAnswered()
		})
	}
}

// others returns the entries that are not in a list.
func others(c *cluster, list []*entry) []*entry {
	rest := c.entries
	for _, e := range list {
		kept := []*entry{}
		for _, other := range rest {
			if other != e {
				kept = append(kept, other)
			}
		}
		rest = kept
	}
	return rest
}

// startFirstTries starts a load whose clients don't retry.
func (c *cluster) startFirstTries(entries []*entry, seed uint64, count int) *load {
	plan := newPlan(seed, count)
	plan.Retries = 0
	return c.startPlan(entries, plan)
}

// TestRequestsWithoutPathAreRefusedAtOnce guards against requests that wait while no instance has a path to a server.
func TestRequestsWithoutPathAreRefusedAtOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const (
		tries       = 30
		maxDuration = 300 * time.Millisecond
	)
	c := newCluster(t, clusterSize{entries: 3, keyedServers: 3, unkeyedServers: 2, seeded: true})
	c.awaitAllAnswered()
	load := c.startLoad(c.entries, 1, 12*requestsPerSecond)
	load.awaitSent(requestsPerSecond)
	c.cutOff(cutSilent, c.entries...)
	time.Sleep(stabilityWindow + 2*time.Second) // the leases of all keys expire
	slow := 0
	for n := range tries {
		host, path := "render.shashat.example", "/previews/a"
		if n%2 == 0 {
			host, path = "shelf.shashat.example", "/frames/a"
		}
		r, err := http.NewRequest(http.MethodGet, "http://"+c.entries[n%3].ip+":"+clientPort+path, strings.NewReader(""))
		is.NoErr(err)
		r.Host = host
		r.Header.Set(platform.HeaderRequestID, "without-path")
		r.Header.Set(platform.HeaderKey, "7")
		started := time.Now()
		answer, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		is.NoErr(answer.Body.Close())
		is.Equal(answer.StatusCode, http.StatusServiceUnavailable)
		is.True(answer.Header.Get("Retry-After") != "")
		if time.Since(started) > maxDuration {
			slow++
		}
	}
	is.Equal(slow, 0) // refusals that took longer than maxDuration
	c.cutOff(cutNone, c.entries...)
	c.verifyLoad(load)
	c.awaitAllAnswered()
}
