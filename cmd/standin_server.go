package cmd

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/faker"
	"github.com/wasabibank/wasabibank/internal/requester"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

const (
	collectTimeout  = 2 * time.Second
	maxCollectBytes = 4 << 10
)

func runStandinServer(args []string, stdout, stderr io.Writer) ExitCode {
	var settings faker.ServerSettings
	flags, listen := newStandinFlags("server", serverExplanation, stderr)
	name := flags.String("name", "", "name of the backend server, as in the bundle")
	collect := flags.String("collect", "", "host:port of a collector that receives each execution; empty is none")
	flags.IntVar(&settings.Slots, "slots", 3, "requests that execute at once")
	flags.IntVar(&settings.QueueBound, "queue", 32, "requests that may wait for a slot")
	flags.IntVar(&settings.Connections, "connections", 100, "open connections; 0 is no bound")
	flags.DurationVar(&settings.ConnectCost, "connect-cost", time.Millisecond, "time that a new connection takes")
	flags.DurationVar(&settings.ServiceTime, "service-time", 20*time.Millisecond, "mean time of one execution")
	flags.Float64Var(&settings.Jitter, "jitter", 0.2, "largest share by which a service time differs from the mean")
	flags.Uint64Var(&settings.Seed, "seed", 1, "seed of the service times")
	flags.DurationVar(&settings.ColdStart, "cold-start", 0, "time after the start in which executions are slower")
	flags.Float64Var(&settings.ColdFactor, "cold-factor", 4, "how many times slower they are at first")
	var faults faker.ServerFaults
	flags.BoolVar(&faults.UncheckedFence, "unchecked-fence", false, "execute requests whatever term and epoch they carry")
	flags.BoolVar(&faults.UncheckedControl, "unchecked-control", false, "obey commands of any sender")
	if code, ok := parseFlags(flags, args, 0, 0); !ok {
		return code
	}
	if *name == "" || settings.Slots < 1 || settings.Jitter < 0 || settings.Jitter > 1 {
		fmt.Fprintln(stderr, "wasabibank standin server: needs -name, -slots of at least 1 and -jitter from 0 to 1")
		return ExitUsage
	}
	settings.Name = identifier.ServerName(*name)
	settings.Run = strconv.FormatInt(time.Now().UnixNano(), 36)
	if *collect != "" {
		settings.Collect = newCollect(*collect)
	}
	server := faker.NewServer(settings)
	server.SetFaults(faults)
	release := func() { server.SetFaults(faker.ServerFaults{}) }
	return standin{name: "server", listen: *listen, handler: server, limit: server.Limit, release: release}.serve(stdout, stderr)
}

// newCollect returns a function that posts an execution to the collector and waits for its answer.
func newCollect(address string) func(faker.Execution) {
	client := requester.NewClient(requester.Settings{Answer: collectTimeout, MaxAnswerBytes: maxCollectBytes})
	return func(e faker.Execution) {
		var answer struct{}
		if err := client.Post(context.Background(), "http://"+address+"/executions", e, &answer); err != nil {
			klog.ErrorS(err, "execution not collected", "server", e.Server, "sequence", e.Sequence)
		}
	}
}
