package main

import (
	"fmt"
	"net/http"
	"time"
)

// newDeskCluster starts entry instances and servers of the service that is divided by key. settings completes the settings of
// the n-th server.
func (c *cluster) newDeskCluster(entries, servers int, settings func(n int, s *serverSettings)) error {
	routes := []route{{prefix: "/sign-off/", kind: "unsafe", service: deskService}}
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

// orderTimeout is the time limit of orders, as of the site's sign-offs.
const orderTimeout = 4 * time.Second

// order returns an unsafe request; n selects its key.
func order(e *entry, path, id string, n int) request {
	return request{entry: e, method: http.MethodPost, path: path, id: id, key: n * 7919 % keyCount, body: []byte("{}"), timeout: orderTimeout}
}
