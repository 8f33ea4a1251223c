package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

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
		rate             = 240.0
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
