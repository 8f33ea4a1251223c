package cmd

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/emulator"
	"github.com/wasabibank/wasabibank/internal/querier"
)

const (
	collectorTimeout        = 2 * time.Second
	maxCollectorAnswerBytes = 4 << 10
)

// standinServer is a stand-in server with its registration, configured by the flags of `standin server`.
type standinServer struct {
	settings  emulator.ServerSettings
	listen    string
	collector string
	store     string
	advertise string
	heartbeat time.Duration
	drain     time.Duration
}

func runStandinServer(args []string, stdout, stderr io.Writer) ExitCode {
	var s standinServer
	flags, listen := newStandinFlags("server", serverDescription, stderr)
	flags.StringVar(&s.settings.ID, "id", "", "id of the backend server")
	flags.StringVar(&s.settings.Service, "service", "", "service of the bundle that it serves")
	flags.StringVar(&s.settings.Domain, "domain", "", "failure domain in which it runs")
	flags.BoolVar(&s.settings.Keyed, "keyed", false, "execute requests only for granted keys")
	flags.StringVar(&s.collector, "collect", "", "host:port of the collector to which executions are posted; empty means none")
	flags.StringVar(&s.store, "store", "", "host:port of the stand-in store for registration; empty means none")
	flags.StringVar(&s.advertise, "advertise", "", "host:port that it registers; empty means the address it listens on")
	flags.DurationVar(&s.heartbeat, "heartbeat", 500*time.Millisecond, "with -store: interval between heartbeats")
	flags.DurationVar(&s.drain, "drain", 3*time.Second, "with -store: time for which it keeps serving after SIGTERM")
	flags.IntVar(&s.settings.Slots, "slots", 3, "maximum number of concurrent requests")
	flags.IntVar(&s.settings.QueueLimit, "queue", 4, "maximum number of requests that wait for a slot")
	flags.BoolVar(&s.settings.HangsWhenFull, "hangs-when-full", false, "never answer a request that it can't queue")
	flags.IntVar(&s.settings.MaxConnections, "connections", 100, "maximum number of open connections; 0 means unlimited")
	flags.DurationVar(&s.settings.ConnectCost, "connect-cost", time.Millisecond,
		"delay of a new connection before its first request is read")
	flags.DurationVar(&s.settings.ServiceTime, "service-time", 20*time.Millisecond, "mean service time")
	flags.Float64Var(&s.settings.Jitter, "jitter", 0.2, "largest relative deviation of a service time from the mean")
	flags.Uint64Var(&s.settings.Seed, "seed", 1, "seed of the service times")
	flags.DurationVar(&s.settings.StartWarmup, "cold-start", 0,
		"duration of the server warm-up, in which the server is cold and executions are slower")
	flags.IntVar(&s.settings.WarmupLimit, "cold-limit", 0, "requests that it tolerates in a second while it is cold; 0 means any number")
	flags.BoolVar(&s.settings.NamesLoad, "names-load", false, "name its load in answers")
	flags.DurationVar(&s.settings.KeyWarmup, "cold-keys", 0, "duration of the key warm-up, for keys granted without a handover")
	flags.Float64Var(&s.settings.ColdFactor, "cold-factor", 4, "factor by which executions are slower during a warm-up")
	flags.StringVar(&s.settings.CrashOn, "crash-on", "", "exit when it begins to execute a request whose URI contains this text")
	s.settings.OnCrash = func() { os.Exit(int(ExitFailure)) }
	if code, ok := parseFlags(flags, args, 0, 0); !ok {
		return code
	}
	if s.settings.ID == "" || s.settings.Service == "" || s.settings.Slots < 1 ||
		s.settings.Jitter < 0 || s.settings.Jitter > 1 {
		fmt.Fprintln(stderr, "wasabibank standin server: needs -id, -service, -slots of at least 1 and -jitter from 0 to 1")
		return ExitUsage
	}
	s.listen = *listen
	return s.serve(stdout, stderr)
}

// serve registers the server and serves until SIGTERM. It then announces that it is draining, keeps serving for the drain
// time, and removes the registration.
func (s standinServer) serve(stdout, stderr io.Writer) ExitCode {
	if s.collector != "" {
		s.settings.OnExecution = newExecutionPoster(s.collector)
	}
	server := emulator.NewServer(s.settings, time.Now())
	endpoint := standin{name: "server", listen: s.listen, handler: server, wrapListener: server.LimitConnections}
	if s.store == "" {
		return endpoint.serve(stdout, stderr)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var registrar *emulator.Registrar
	endpoint.onListen = func(address net.Addr) {
		if s.advertise == "" {
			s.advertise = address.String()
		}
		registrar = emulator.NewRegistrar(server, s.store, s.advertise, s.heartbeat)
		go registrar.Run(ctx)
	}
	endpoint.onShutdown = func() {
		server.StartDraining()
		if err := registrar.SendHeartbeat(ctx); err != nil {
			klog.InfoS("could not announce draining", "server", s.settings.ID, "error", err)
		}
		time.Sleep(s.drain)
		cancel()
		if err := registrar.Remove(context.Background()); err != nil {
			klog.InfoS("could not remove the registration", "server", s.settings.ID, "error", err)
		}
	}
	return endpoint.serve(stdout, stderr)
}

// newExecutionPoster returns a function that posts an execution to the collector at address and waits for the answer.
func newExecutionPoster(address string) func(emulator.Execution) {
	client := querier.NewClient(querier.Settings{AnswerTimeout: collectorTimeout, MaxAnswerBytes: maxCollectorAnswerBytes})
	return func(e emulator.Execution) {
		var answer struct{}
		if err := client.Post(context.Background(), "http://"+address+"/executions", e, &answer); err != nil {
			klog.ErrorS(err, "could not post the execution to the collector", "server", e.Server, "sequence", e.Sequence)
		}
	}
}
