package cmd

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/emulator"
	"github.com/wasabibank/wasabibank/internal/querier"
)

const (
	collectTimeout  = 2 * time.Second
	maxCollectBytes = 4 << 10
)

// standinServer is what the flags of `standin server` say besides the server's settings.
type standinServer struct {
	settings  emulator.ServerSettings
	listen    string
	collect   string
	store     string
	advertise string
	heartbeat time.Duration
	drain     time.Duration
}

func runStandinServer(args []string, stdout, stderr io.Writer) ExitCode {
	var s standinServer
	flags, listen := newStandinFlags("server", serverExplanation, stderr)
	flags.StringVar(&s.settings.ID, "id", "", "id of the backend server")
	flags.StringVar(&s.settings.Service, "service", "", "service of the bundle that it serves")
	flags.StringVar(&s.settings.Domain, "domain", "", "failure domain in which it runs")
	flags.BoolVar(&s.settings.Keyed, "keyed", false, "run requests only for keys that it was granted")
	flags.StringVar(&s.collect, "collect", "", "host:port of a collector that receives each execution; empty is none")
	flags.StringVar(&s.store, "store", "", "host:port of the stand-in store with which it registers; empty is none")
	flags.StringVar(&s.advertise, "advertise", "", "host:port with which it registers; empty is where it listens")
	flags.DurationVar(&s.heartbeat, "heartbeat", 500*time.Millisecond, "time between two heartbeats to the store")
	flags.DurationVar(&s.drain, "drain", 3*time.Second, "time for which it serves on after SIGTERM")
	flags.IntVar(&s.settings.Slots, "slots", 3, "requests that run at once")
	flags.IntVar(&s.settings.QueueLimit, "queue", 4, "requests that may wait for a slot")
	flags.BoolVar(&s.settings.HangsWhenFull, "hangs-when-full", false, "never answer a request that it can't queue")
	flags.IntVar(&s.settings.MaxConnections, "connections", 100, "open connections; 0 is no bound")
	flags.DurationVar(&s.settings.ConnectCost, "connect-cost", time.Millisecond, "time that a new connection takes")
	flags.DurationVar(&s.settings.ServiceTime, "service-time", 20*time.Millisecond, "mean time of one execution")
	flags.Float64Var(&s.settings.Jitter, "jitter", 0.2, "largest share by which a service time differs from the mean")
	flags.Uint64Var(&s.settings.Seed, "seed", 1, "seed of the service times")
	flags.DurationVar(&s.settings.StartWarmup, "cold-start", 0, "time after the start in which executions are slower")
	flags.DurationVar(&s.settings.KeyWarmup, "cold-keys", 0, "time for which keys without their handover are slower")
	flags.Float64Var(&s.settings.ColdFactor, "cold-factor", 4, "how many times slower they are")
	if code, ok := parseFlags(flags, args, 0, 0); !ok {
		return code
	}
	if s.settings.ID == "" || s.settings.Service == "" || s.settings.Slots < 1 || s.settings.Jitter < 0 || s.settings.Jitter > 1 {
		fmt.Fprintln(stderr, "wasabibank standin server: needs -id, -service, -slots of at least 1 and -jitter from 0 to 1")
		return ExitUsage
	}
	s.listen = *listen
	return s.serve(stdout, stderr)
}

// serve registers the server and serves until SIGTERM, and then for as long as its drain takes.
func (s standinServer) serve(stdout, stderr io.Writer) ExitCode {
	if s.collect != "" {
		s.settings.OnExecution = newCollect(s.collect)
	}
	server := emulator.NewServer(s.settings, time.Now())
	shown := standin{name: "server", listen: s.listen, handler: server, limit: server.LimitConnections}
	if s.store == "" {
		return shown.serve(stdout, stderr)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var registrar *emulator.Registrar
	shown.started = func(address net.Addr) {
		if s.advertise == "" {
			s.advertise = address.String()
		}
		registrar = emulator.NewRegistrar(server, s.store, s.advertise, s.heartbeat)
		go registrar.Run(ctx)
	}
	shown.release = func() {
		server.Drain()
		if err := registrar.SendHeartbeat(ctx); err != nil {
			klog.InfoS("drain not announced", "server", s.settings.ID, "error", err)
		}
		time.Sleep(s.drain)
		cancel()
		if err := registrar.Remove(context.Background()); err != nil {
			klog.InfoS("entry not removed", "server", s.settings.ID, "error", err)
		}
	}
	return shown.serve(stdout, stderr)
}

// newCollect returns a function that posts an execution to the collector and waits for its answer.
func newCollect(address string) func(emulator.Execution) {
	client := querier.NewClient(querier.Settings{AnswerTimeout: collectTimeout, MaxAnswerBytes: maxCollectBytes})
	return func(e emulator.Execution) {
		var answer struct{}
		if err := client.Post(context.Background(), "http://"+address+"/executions", e, &answer); err != nil {
			klog.ErrorS(err, "execution not collected", "server", e.Server, "sequence", e.Sequence)
		}
	}
}
