package detector

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_000_000, 0)

// network is a simulated instance with a Detector and a path to some servers.
type network struct {
	detector Detector
	servers  []Server
	now      time.Time
	down     map[string]bool // servers without a path
	probes   map[string]int  // by server
	pending  map[time.Time][]string
}

const (
	connectTimeout = 300 * time.Millisecond
	tickInterval   = 50 * time.Millisecond
)

func newNetwork(service string, count int) *network {
	n := &network{now: start, down: map[string]bool{}, probes: map[string]int{}, pending: map[time.Time][]string{}}
	for i := range count {
		n.servers = append(n.servers, Server{ID: fmt.Sprintf("s%03d", i), Service: service})
	}
	n.detector.SetServers(n.servers)
	return n
}

// run lets time pass, with probes and requests to a number of servers every tick.
func (n *network) run(d time.Duration, busyServers int) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(tickInterval) {
		for i := range busyServers {
			n.contact(n.servers[i].ID)
		}
		for _, id := range n.pending[n.now] {
			n.detector.ConnectFailed(n.now, id)
		}
		delete(n.pending, n.now)
		for _, id := range n.detector.Tick(n.now) {
			n.probes[id]++
			n.contact(id)
		}
	}
}

// contact connects to a server. Without a path the connection fails after connectTimeout.
func (n *network) contact(id string) {
	if !n.down[id] {
		n.detector.Reached(n.now, id)
		return
	}
	at := n.now.Add(connectTimeout)
	n.pending[at] = append(n.pending[at], id)
}

func (n *network) probeCount() int {
	total := 0
	for _, count := range n.probes {
		total += count
	}
	return total
}

func (n *network) cut(first, last int) {
	for _, s := range n.servers[first:last] {
		n.down[s.ID] = true
	}
}

func TestServicesAreLostOnlyWithoutPath(t *testing.T) {
	tests := map[string]struct {
		servers, busy     int
		cutFirst, cutLast int // these servers have no path
		lost              bool
	}{
		"one server down":                       {servers: 16, busy: 16, cutFirst: 0, cutLast: 1},
		"one server down, others idle":          {servers: 16, busy: 1, cutFirst: 0, cutLast: 1},
		"third of the servers down":             {servers: 16, busy: 16, cutFirst: 0, cutLast: 5},
		"third of the servers down, few used":   {servers: 16, busy: 5, cutFirst: 0, cutLast: 5},
		"all cut off":                           {servers: 16, busy: 16, cutFirst: 0, cutLast: 16, lost: true},
		"all cut off, one used":                 {servers: 16, busy: 1, cutFirst: 0, cutLast: 16, lost: true},
		"all cut off but one":                   {servers: 16, busy: 3, cutFirst: 0, cutLast: 15, lost: true},
		"all of a large service, three used":    {servers: 449, busy: 3, cutFirst: 0, cutLast: 449, lost: true},
		"all of a large service, most used":     {servers: 449, busy: 400, cutFirst: 0, cutLast: 449, lost: true},
		"a few servers of a large one are down": {servers: 449, busy: 400, cutFirst: 0, cutLast: 20},
		"two servers, both cut off":             {servers: 2, busy: 2, cutFirst: 0, cutLast: 2, lost: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := newNetwork("desk", tc.servers)
			n.run(3*time.Second, tc.busy)
			is.Equal(n.probeCount(), 0) // probes while nothing fails
			n.cut(tc.cutFirst, tc.cutLast)
			n.run(1500*time.Millisecond, tc.busy)
			is.Equal(len(n.detector.LostServices(n.now)) > 0, tc.lost)
			is.True(n.detector.ServerLost(n.servers[0].ID))
			n.run(5*time.Second, tc.busy)
			is.Equal(len(n.detector.LostServices(n.now)) > 0, tc.lost)
			n.down = map[string]bool{}
			n.run(2*time.Second, tc.busy)
			is.Equal(len(n.detector.LostServices(n.now)), 0)
		})
	}
}

// TestProbesAreBounded guards against probes that load the servers of a large service while an instance is cut off.
func TestProbesAreBounded(t *testing.T) {
	is := is.New(t)
	n := newNetwork("desk", 449)
	n.cut(0, 449)
	n.run(10*time.Second, 3)
	before := n.probeCount()
	n.run(10*time.Second, 3)
	is.True(n.probeCount()-before <= 10*int(time.Second/tickInterval)*maxRetriesPerTick)
}

// TestFlappingPathIsRegainedLater guards against servers that change between lost and regained as fast as the path does.
func TestFlappingPathIsRegainedLater(t *testing.T) {
	is := is.New(t)
	n := newNetwork("desk", 4)
	changes, lost := 0, false
	for range 40 {
		for _, down := range []bool{true, false} {
			n.down = map[string]bool{}
			if down {
				n.cut(0, 4)
			}
			for range 10 {
				n.run(tickInterval, 4)
				if now := n.detector.ServerLost("s000"); now != lost {
					lost = now
					changes++
				}
			}
		}
	}
	is.True(changes <= 10) // of the 80 changes of the path
	n.down = map[string]bool{}
	n.run(3*time.Second, 4)
	is.True(!n.detector.ServerLost("s000"))
}

func TestAnswersOfBusyServerOutweighClosedConnections(t *testing.T) {
	is := is.New(t)
	var d Detector
	d.SetServers([]Server{{ID: "a", Service: "desk"}})
	now := start
	for range 20 {
		for range 3 {
			now = now.Add(10 * time.Millisecond)
			is.True(!d.Closed(now, "a"))
		}
		d.Reached(now, "a")
	}
	is.True(!d.ServerLost("a"))
}

func TestNewIncarnationIsReachable(t *testing.T) {
	is := is.New(t)
	var d Detector
	d.SetServers([]Server{{ID: "a", Service: "desk", Incarnation: 1}})
	d.ConnectFailed(start, "a")
	is.True(d.ConnectFailed(start, "a"))
	d.SetServers([]Server{{ID: "a", Service: "desk", Incarnation: 1}})
	is.Equal(d.Losses(), 1)
	d.SetServers([]Server{{ID: "a", Service: "desk", Incarnation: 2}})
	is.Equal(d.Losses(), 0)
	is.True(!d.ServerLost("a"))
}

func TestReachesMost(t *testing.T) {
	tests := map[string]struct {
		reached []string
		asked   []string
		after   time.Duration
		since   time.Duration // after the contact
		want    bool
	}{
		"none":           {asked: []string{"a", "b"}},
		"half":           {reached: []string{"a"}, asked: []string{"a", "b"}, want: true},
		"a third":        {reached: []string{"a"}, asked: []string{"a", "b", "c"}},
		"nothing asked":  {reached: []string{"a"}},
		"too long ago":   {reached: []string{"a", "b"}, asked: []string{"a", "b"}, after: contactAge},
		"before the cut": {reached: []string{"a", "b"}, asked: []string{"a", "b"}, since: 1},
		"unknown server": {reached: []string{"a"}, asked: []string{"a", "x", "y"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var d Detector
			d.SetServers([]Server{{ID: "a"}, {ID: "b"}, {ID: "c"}})
			for _, id := range tc.reached {
				d.Reached(start, id)
			}
			is.Equal(d.ReachesMost(start.Add(tc.after), start.Add(tc.since-1), tc.asked), tc.want)
		})
	}
}

// TestOtherServicesAreCheckedToo guards against instances that are chosen as dispatchers one after the other because each has lost one
// service and not tried the others yet.
func TestOtherServicesAreCheckedToo(t *testing.T) {
	is := is.New(t)
	n := newNetwork("desk", 6)
	for i := range 6 {
		n.servers = append(n.servers, Server{ID: fmt.Sprintf("v%d", i), Service: "vault"})
	}
	n.detector.SetServers(n.servers)
	n.run(time.Second, 3) // requests to "desk" only
	n.cut(0, len(n.servers))
	n.run(2*time.Second, 3)
	is.Equal(len(n.detector.LostServices(n.now)), 2)
}

// TestServiceLostElsewhereIsChecked guards against an instance without requests that does not know that it has no path either.
func TestServiceLostElsewhereIsChecked(t *testing.T) {
	tests := map[string]struct {
		busy    int
		cutOff  bool
		checked bool
	}{
		"idle, cut off":        {cutOff: true, checked: true},
		"idle, not cut off":    {checked: true},
		"reached a moment ago": {busy: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := newNetwork("desk", 6)
			n.run(time.Second, tc.busy)
			if tc.cutOff {
				n.cut(0, 6)
			}
			n.detector.CheckService(n.now, "desk")
			n.run(time.Second, 0)
			is.Equal(n.probeCount() > 0, tc.checked)
			is.Equal(len(n.detector.LostServices(n.now)) > 0, tc.cutOff)
		})
	}
}

// TestUnreachedServersAfterContact guards against a leader that has lost its paths and is not replaced because now and then a connection
// that was opened before still delivers an answer, and against one that is replaced although its paths come back.
func TestUnreachedServersAfterContact(t *testing.T) {
	tests := map[string]struct {
		contacts []int // when the first server is reached, in ms
		failures []int // when a new connection to it fails
		want     map[int]bool
	}{
		"no contact":                        {want: map[int]bool{0: true, 500: true}},
		"paths come back":                   {contacts: []int{0}, want: map[int]bool{0: false, 2999: false}},
		"paths come back, regained":         {contacts: []int{0, 100}, want: map[int]bool{0: false, 2999: false}},
		"answer over an old connection":     {contacts: []int{0}, failures: []int{100}, want: map[int]bool{50: false, 100: true, 400: true}},
		"answers over an old connection":    {contacts: []int{0, 400}, failures: []int{100, 500}, want: map[int]bool{300: true, 450: false, 500: true}},
		"regained and lost again":           {contacts: []int{0, 100}, failures: []int{200, 250, 300}, want: map[int]bool{200: false, 300: true}},
		"paths come back after such answer": {contacts: []int{0, 400}, failures: []int{100}, want: map[int]bool{300: true, 400: false, 2000: false}},
	}
	for name, test := range tests {
		for when, want := range test.want {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				n := newNetwork("s", 4)
				for _, s := range n.servers {
					for range 2 {
						n.detector.ConnectFailed(start, s.ID)
					}
				}
				for ms := 0; ms <= when; ms += 50 {
					now := start.Add(time.Second + time.Duration(ms)*time.Millisecond)
					if slices.Contains(test.contacts, ms) {
						n.detector.Reached(now, "s000")
					}
					if slices.Contains(test.failures, ms) {
						n.detector.ConnectFailed(now, "s000")
					}
				}
				now := start.Add(time.Second + time.Duration(when)*time.Millisecond)
				is.Equal(len(n.detector.UnreachedServers(now, "s", 8)) > 0, want)
			})
		}
	}
}
