package verifier

import (
	"flag"
	"fmt"
	"testing"
)

// crowdLarge runs the crowds at the size of the deployments, which takes many minutes.
var crowdLarge = flag.Bool("crowd.large", false, "run the crowds with the clients, bodies and machines of the deployments")

const (
	largeClients     = 400 // to each instance
	largeBodyBytes   = 64 << 20
	largeDescriptors = 4100
)

// TestLargeCrowdsStayWithinTheMachine guards against what TestCrowdsStayWithinTheMachine does, with the limits of the deployments.
func TestLargeCrowdsStayWithinTheMachine(t *testing.T) {
	if !*crowdLarge {
		t.Skip("needs -crowd.large")
	}
	for _, memoryMB := range []int{144, 184, 284} {
		for _, entries := range []int{1, 3} {
			for name, test := range newCrowds(largeClients, largeClients, largeBodyBytes) {
				t.Run(fmt.Sprintf("%d MB, %d/%s", memoryMB, entries, name), func(t *testing.T) {
					size := clusterSize{entries: entries, keyedServers: 1, unkeyedServers: 1, memoryMB: memoryMB, descriptors: largeDescriptors}
					c := newCrowdCluster(t, size, "body_bytes: 64MiB", deploymentLimits...)
					c.meetCrowd(test, memoryMB, largeDescriptors)
				})
			}
		}
	}
}

// deploymentLimits are the limits of the deployments in place of the example's.
var deploymentLimits = []string{"header_bytes: 32KiB", "header_bytes: 16KiB", "header_timeout: 5s", "header_timeout: 3s", "idle_timeout: 20s", "idle_timeout: 15s"}
