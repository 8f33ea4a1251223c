package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// starvedUploads plays a kind of request with large bodies, within the configuration's max_body_bytes, beside one with small bodies.
func starvedUploads(c *cluster, trouble bool) ([]string, error) {
	const (
		entries, servers = 6, 6
		length           = 60 * time.Second
		smallRate        = 12.0
		uploadRate       = 1.0
		largeBytes       = 12 << 20
		smallBytes       = 1 << 20
		// starvedShare is how often a kind of request must be served, as a share of how often all requests are.
		starvedShare = 0.25
	)
	err := c.newDeskCluster(entries, servers, func(_ int, s *serverSettings) {
		s.work = func() time.Duration { return 50*time.Millisecond + rand.N(100*time.Millisecond) }
	})
	if err != nil {
		return nil, err
	}
	size := smallBytes
	if trouble {
		size = largeBytes
	}
	body := bytes.Repeat([]byte("r"), size)
	small, uploads := &load{record: c.record}, &load{record: c.record}
	end := time.Now().Add(length)
	var pending sync.WaitGroup
	pending.Go(func() {
		small.run(end, smallRate, func(n int) request {
			return request{
				entry: c.entries[n%entries], method: http.MethodPost, path: "/sign-off/a", id: fmt.Sprintf("sign-off-%06d", n),
				key: rand.IntN(keyCount), body: []byte("certified"), timeout: 4 * time.Second,
			}
		})
	})
	uploads.run(end, uploadRate, func(n int) request {
		return request{
			entry: c.entries[n%entries], method: http.MethodPost, path: "/photos/a", id: fmt.Sprintf("photos-%06d", n),
			key: rand.IntN(keyCount), body: body, timeout: 4 * time.Second,
		}
	})
	pending.Wait()
	uploadsServed, uploadsSent := uploads.count(http.StatusOK), len(uploads.answers)
	served, sent := uploadsServed+small.count(http.StatusOK), uploadsSent+len(small.answers)
	c.record.line("served %d of %d uploads, %d of all %d requests", uploadsServed, uploadsSent, served, sent)
	violations := c.ledger.checkUnsafe(append(small.answers, uploads.answers...))
	if float64(uploadsServed)/float64(uploadsSent) < starvedShare*float64(served)/float64(sent) {
		violations = append(violations, fmt.Sprintf("Starved: %d of %d uploads were served, and %d of all %d requests; %d uploads were answered 502",
			uploadsServed, uploadsSent, served, sent, uploads.count(http.StatusBadGateway)))
	}
	return violations, small.checkServed()
}
