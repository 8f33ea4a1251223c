package surveyor

import (
	"fmt"
	"time"

	"github.com/wasabibank/wasabibank/internal/commander"
	"github.com/wasabibank/wasabibank/internal/controller"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// messageCopies is how often one message is sent to measure it.
const messageCopies = 100

// surveyMessages measures the bytes on the wire, headers included, and the processor time of client and server of one
// message and its answer against what the message lists.
func surveyMessages(r *Result, s scale) error {
	kinds := []struct {
		name string
		per  string
		make func(n int) traffic
	}{
		{"exchange_by_heard", "instance heard by both", func(n int) traffic { return exchangeOf(n, 0, 0) }},
		{"exchange_by_reports", "server reported", func(n int) traffic { return exchangeOf(0, n, 0) }},
		{"exchange_by_loads", "partition reported", func(n int) traffic { return exchangeOf(0, 1, n) }},
		{"grant_by_partitions", "partition granted", grantOf},
		{"log_read_by_none", "nothing", func(int) traffic { return traffic{reads: 1} }},
	}
	for _, k := range kinds {
		var bytes, times []Point
		for _, n := range s.listed {
			total, cpu, err := k.make(n).carryOne()
			if err != nil {
				return err
			}
			bytes = append(bytes, Point{X: float64(n), Y: total})
			times = append(times, Point{X: float64(n), Y: micros(cpu)})
		}
		r.add(k.name+"_bytes", "bytes, request and answer", k.per, "one message", bytes)
		r.add(k.name+"_cpu", "µs, client and server", k.per, "one message", times)
	}
	return nil
}

// carryOne returns the bytes and the processor time of the traffic's single message.
func (t traffic) carryOne() (float64, time.Duration, error) {
	many := traffic{reads: t.reads * messageCopies}
	for range messageCopies {
		many.exchanges = append(many.exchanges, t.exchanges...)
		many.grants = append(many.grants, t.grants...)
	}
	bytes, cpu, err := many.carry()
	for range cpuTries - 1 {
		var again time.Duration
		if err == nil {
			_, again, err = many.carry()
		}
		cpu = min(cpu, again)
	}
	if len(many.exchanges) > 0 {
		bytes /= 2
	}
	return bytes / messageCopies, cpu / messageCopies, err
}

// exchangeOf returns one heartbeat in which both sides hear some instances, with reports of servers.
func exchangeOf(heard, servers, partitions int) traffic {
	e := exchanged{
		request: controller.ExchangeRequest{Instance: sampleInstance(0), Offset: sampleOffset, Hears: sampleInstances(heard)},
		reply: controller.ExchangeReply{
			Instance: sampleInstance(1),
			Offset:   sampleOffset,
			Hears:    sampleInstances(heard),
			Pledge:   time.Second,
		},
	}
	for i := range servers {
		report := controller.ServerReport{Server: identifier.ServerName(fmt.Sprintf("server_%05d", i)), Slots: 3, Running: 1}
		for _, p := range samplePartitions(partitions) {
			report.Partitions = append(report.Partitions, controller.PartitionLoad{Partition: p, Load: partitionLoad})
		}
		e.request.Reports = append(e.request.Reports, report)
	}
	return traffic{exchanges: []exchanged{e}}
}

// grantOf returns one accepted grant.
func grantOf(partitions int) traffic {
	g := granted{
		grant:  commander.Grant{Issuer: sampleInstance(0), Term: 3, TTL: time.Second, Echo: sampleNonce},
		answer: commander.GrantAnswer{Accepted: true, Checks: true, Term: 3, Nonce: sampleNonce},
	}
	for _, p := range samplePartitions(partitions) {
		g.grant.Partitions = append(g.grant.Partitions, commander.PartitionGrant{ID: p, Epoch: 4})
	}
	return traffic{grants: []granted{g}}
}

// The fields of the sample messages.
const (
	sampleNonce  = "01KBK5J8W3E2N7R6V1Q4T9Z0XC"
	sampleOffset = 1_000_000
)

func sampleInstance(i int) identifier.InstanceID {
	return identifier.InstanceID(fmt.Sprintf("entry_%05d-%s.1", i, sampleNonce))
}

func sampleInstances(n int) []identifier.InstanceID {
	ids := make([]identifier.InstanceID, n)
	for i := range ids {
		ids[i] = sampleInstance(i)
	}
	return ids
}

func samplePartitions(n int) []identifier.PartitionID {
	ids := make([]identifier.PartitionID, n)
	for i := range ids {
		ids[i] = identifier.PartitionID{Service: "desk", Index: identifier.PartitionIndex(i)}
	}
	return ids
}
