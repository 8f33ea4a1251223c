package main

import (
	"net"
	"net/http"
	"time"

	"github.com/wasabibank/wasabibank/internal/emulator"
)

// server is a stand-in of a backend server.
type server struct{ http *http.Server }

// addServer adds a backend server and registers it.
func (c *cluster) addServer(settings emulator.ServerSettings) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	standin := emulator.NewServer(settings, time.Now())
	s := &server{http: &http.Server{Handler: standin}}
	go func() { _ = s.http.Serve(standin.LimitConnections(listener)) }() // ends with Close
	c.servers = append(c.servers, s)
	go emulator.NewRegistrar(standin, c.storeAddress, listener.Addr().String(), heartbeat).Run(c.context)
	return nil
}
