package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

// newDeskCluster starts entry instances and servers of the service that is divided by key. settings completes the settings of
// the n-th server.
func (c *cluster) newDeskCluster(entries, servers int, settings func(n int, s *serverSettings)) error {
	routes := []route{
		{prefix: "/sign-off/", kind: "unsafe", service: deskService}, {prefix: "/photos/", kind: "unsafe", service: deskService},
	}
	if err := c.publish([]string{deskService}, routes); err != nil {
		return err
	}
	for n := range servers {
		if _, err := c.addDeskServer(n, settings); err != nil {
			return err
		}
	}
	for range entries {
		if err := c.addEntry(); err != nil {
			return err
		}
	}
	return c.awaitServing("/sign-off/probe")
}

func (c *cluster) addDeskServer(n int, settings func(n int, s *serverSettings)) (*server, error) {
	s := serverSettings{id: fmt.Sprintf("i-%02d", n), service: deskService, zone: zones[n%len(zones)], slots: 3, queue: 8}
	settings(n, &s)
	return c.startServer(s)
}

// fraction returns a function that reports true for one in every so many calls.
func fraction(every int64) func() bool {
	var calls atomic.Int64
	return func() bool { return calls.Add(1)%every == 0 }
}

// lateRejection plays servers that reject some requests and also send late second copies of their answers. A copy of a
// rejection that arrives where the answer to the next attempt of the same request is due must not count as that answer.
func lateRejection(c *cluster, trouble bool) ([]string, error) {
	const (
		entries, servers = 3, 15
		rate             = 150.0
		cycle            = 8 * time.Second
		cycles           = 10
		// faulty is the number of servers that shed and send copies: 0.133 of all.
		faulty = 2
		// shedFor and shedShare are those of srv_grey (shed), copyFor and copyEvery those of garble (extra late) with x = 0.03.
		shedFor   = 6500 * time.Millisecond
		shedShare = 0.45
		copyFrom  = time.Second
		copyFor   = 5 * time.Second
		copyEvery = 34
	)
	var start atomic.Pointer[time.Time]
	within := func(from, length time.Duration) bool {
		began := start.Load()
		if began == nil {
			return false
		}
		at := time.Since(*began) % cycle
		return from <= at && at < from+length
	}
	copyDue := fraction(copyEvery)
	err := c.newDeskCluster(entries, servers, func(n int, s *serverSettings) {
		s.work = func() time.Duration { return 60*time.Millisecond + rand.N(120*time.Millisecond) }
		if n >= faulty {
			return
		}
		s.sheds = func() bool { return within(0, shedFor) && rand.Float64() < shedShare }
		s.copiesAnswer = func(order bool) bool { return trouble && !order && within(copyFrom, copyFor) && copyDue() }
	})
	if err != nil {
		return nil, err
	}
	now := time.Now()
	start.Store(&now)
	l := &load{record: c.record}
	l.run(now.Add(cycles*cycle), rate, func(n int) request {
		return request{
			entry: c.entries[n%entries], method: http.MethodPost, path: "/sign-off/a", id: fmt.Sprintf("sign-off-%06d", n),
			key: rand.IntN(keyCount), body: []byte("certified"), timeout: 4 * time.Second,
		}
	})
	return c.ledger.checkUnsafe(l.answers), l.checkServed()
}
