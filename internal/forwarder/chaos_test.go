package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// chaoticServer is a backend server whose connections fail at every step. It counts what it executed by request id.
type chaoticServer struct {
	listener net.Listener
	mu       sync.Mutex
	source   *rand.Rand
	executed map[string]int
}

func newChaoticServer(t *testing.T, seed uint64) *chaoticServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &chaoticServer{listener: listener, source: rand.New(rand.NewPCG(seed, seed)), executed: map[string]int{}}
	t.Cleanup(func() { _ = listener.Close() })
	go s.accept()
	return s
}

func (s *chaoticServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *chaoticServer) roll(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source.IntN(n)
}

func (s *chaoticServer) execute(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executed[r.Header.Get(headerRequestID)]++
}

// serve answers requests until it chooses to fail.
func (s *chaoticServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	if s.roll(12) == 0 {
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !s.answer(c, r) {
			return
		}
	}
}

// answer handles one request and reports whether the connection goes on.
func (s *chaoticServer) answer(c net.Conn, r *http.Request) bool {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nWasabibank-Refused: shed\r\nContent-Length: 0\r\n\r\n"
	text, goesOn, executes := whole, true, true
	switch s.roll(10) {
	case 0:
		text, goesOn = whole, false // closes after the answer without saying so
	case 1:
		text, goesOn = "", false
	case 2:
		text, goesOn = whole[:10], false
	case 3:
		text, goesOn = whole[:len(whole)-2], false
	case 4:
		text, goesOn, executes = "", false, false
	case 5, 6:
		text, executes = refusal, false
	}
	if executes {
		s.execute(r)
	}
	_, _ = io.WriteString(c, text)
	if s.roll(2) == 0 && !goesOn && text == "" {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	return goesOn
}

// TestOrdersRunAtMostOnce sends orders through both entries to a server that fails at every step, and compares what the
// callers were told with what the server counted.
func TestOrdersRunAtMostOnce(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			s := newChaoticServer(t, seed)
			c := newCluster(t, s.listener.Addr().String())
			const clients, orders = 8, 60
			outcomes := make([]map[string]string, clients)
			var wait sync.WaitGroup
			for i := range clients {
				outcomes[i] = map[string]string{}
				wait.Go(func() { orderAll(t, c, i, orders, outcomes[i]) })
			}
			wait.Wait()
			counted := map[string]int{}
			for _, told := range outcomes {
				for id, outcome := range told {
					counted[outcome]++
					ran := s.executed[id]
					is.True(ran <= 1)                                // doubled
					is.True(outcome != "not_run" || ran == 0)        // false not run
					is.True(outcome != "answered" || ran == 1)       // answered without running
					is.True(outcome != "" && outcome != "untypical") // no outcome
				}
			}
			t.Log(counted)
			is.True(counted["answered"] > 0 && counted["unknown"] > 0)
			is.Equal(c.a.table.Gate("s1").Total(), 0)
		})
	}
}

// orderAll sends orders, each with an Idempotency-Key, and notes the outcomes.
func orderAll(t *testing.T, c *cluster, client, orders int, told map[string]string) {
	for n := range orders {
		e := []*entry{c.a, c.b}[n%2]
		id := fmt.Sprintf("%d-%d", client, n)
		answer, body, err := send(t, e, "POST", "/s/desk/k/orders", strings.NewReader("order"),
			headerRequestID, id, "Idempotency-Key", id)
		if err != nil {
			told[id] = ""
			continue
		}
		told[id] = answer.Header.Get(headerOutcome)
		if (told[id] == "answered") != (body == "done") {
			told[id] = "untypical"
		}
	}
}
