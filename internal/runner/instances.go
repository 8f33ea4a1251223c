package runner

import (
	"context"
	"time"

	"github.com/wasabibank/wasabibank/internal/controller"
	"github.com/wasabibank/wasabibank/internal/lister"
)

const (
	// listEvery is the time between two reads of the platform's list of instances.
	listEvery = time.Second
	// listTimeout bounds one read of it.
	listTimeout = time.Second
)

// watchInstances tells the control thread which instances the platform lists as leaving. While the list can't be read,
// its last word stands: it is a hint only.
func (r *Runner) watchInstances(ctx context.Context) {
	if r.settings.InstanceListAddress() == "" {
		return
	}
	client := lister.NewClient(r.settings.InstanceListAddress())
	for pause(ctx, listEvery) {
		bounded, cancel := context.WithTimeout(ctx, listTimeout)
		instances, err := client.List(bounded)
		cancel()
		if err == nil {
			r.loop.post(ctx, controller.InstancesListed{Leaving: leavingNames(instances)})
		}
	}
}

func leavingNames(instances []lister.Instance) []string {
	var names []string
	for _, instance := range instances {
		if instance.State == lister.StateLeaving {
			names = append(names, instance.Name)
		}
	}
	return names
}
