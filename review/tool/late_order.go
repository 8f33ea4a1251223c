package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

// lateOrder plays servers that are replaced one after the other while some send late second copies of their answers. A copy of
// the answer to an order that arrives where the answer to a release is due must not count as that answer.
func lateOrder(c *cluster, trouble bool) ([]string, error) {
	const (
		entries, servers = 3, 16
		rate             = 42.0
		length           = 88 * time.Second
		replaceInterval  = time.Second
		// hotShare of the requests are about hotKeys neighbouring keys, which change from time to time.
		hotShare    = 0.35
		hotKeys     = 200
		hotInterval = 2 * time.Second
		// Three of five servers send a second copy for one in 34 answers, of an answer to an order: garble (extra late), share 0.6,
		// x 0.03.
		copyEvery = 34
	)
	settings := func(n int, s *serverSettings) {
		s.work = func() time.Duration { return 500*time.Millisecond + rand.N(700*time.Millisecond) }
		if n%5 < 3 && trouble {
			s.copiesAnswer = orderCopies(copyEvery)
		}
	}
	if err := c.newDeskCluster(entries, servers, settings); err != nil {
		return nil, err
	}
	end := time.Now().Add(length)
	var replaceError atomic.Pointer[error]
	go func() {
		for n := servers; time.Now().Add(replaceInterval).Before(end); n++ {
			if _, err := c.addDeskServer(n, settings); err != nil {
				replaceError.Store(&err)
				return
			}
			time.Sleep(replaceInterval)
			c.servers[n-servers].drain()
		}
	}()
	hot := func(n int) int {
		period := int(float64(n) / rate / hotInterval.Seconds())
		return (period*7919 + rand.IntN(hotKeys)) % keyCount
	}
	l := &load{record: c.record}
	l.run(end, rate, func(n int) request {
		key := rand.IntN(keyCount)
		if rand.Float64() < hotShare {
			key = hot(n)
		}
		return request{
			entry: c.entries[n%entries], method: http.MethodPost, path: "/sign-off/a", id: fmt.Sprintf("sign-off-%06d", n),
			key: key, body: []byte("certified"), timeout: 4 * time.Second,
		}
	})
	if err := replaceError.Load(); err != nil {
		return nil, *err
	}
	return append(c.ledger.ownerViolations(), c.ledger.checkUnsafe(l.answers)...), l.checkServed()
}

// orderCopies returns a function that is called with each answer, and reports true for as many answers to orders as make one in
// every so many of all answers.
func orderCopies(every int64) func(order bool) bool {
	var answers, copies atomic.Int64
	return func(order bool) bool {
		if due := answers.Add(1) / every; !order || copies.Load() >= due {
			return false
		}
		copies.Add(1)
		return true
	}
}
