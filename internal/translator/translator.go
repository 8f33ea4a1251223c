// Package translator turns the heartbeats of the control decider into the messages between instances, and back.
package translator

import (
	"time"

	"github.com/wasabibank/wasabibank/internal/controller"
	"github.com/wasabibank/wasabibank/internal/messenger"
	"github.com/wasabibank/wasabibank/internal/reducer"
	"github.com/wasabibank/wasabibank/internal/tracer"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// RequestMessage returns the message of a heartbeat; clock is the sender's reading of the hybrid clock.
func RequestMessage(r controller.ExchangeRequest, clock tracer.HybridTime) *messenger.ExchangeRequest {
	return &messenger.ExchangeRequest{
		Instance:     string(r.Instance),
		Offset:       uint64(r.Offset),
		Hears:        textsOf(r.Hears),
		PledgeWanted: true,
		Loads:        loadMessages(r.Reports),
		Clock:        clockMessage(clock),
	}
}

// Request returns the heartbeat that a message holds.
func Request(m *messenger.ExchangeRequest) controller.ExchangeRequest {
	return controller.ExchangeRequest{
		Instance: identifier.InstanceID(m.GetInstance()),
		Offset:   identifier.Offset(m.GetOffset()),
		Hears:    instancesOf(m.GetHears()),
		Reports:  reportsOf(m.GetLoads()),
	}
}

// ReplyMessage returns the message of an answer to a heartbeat.
func ReplyMessage(r controller.ExchangeReply, clock tracer.HybridTime) *messenger.ExchangeReply {
	message := &messenger.ExchangeReply{
		Instance: string(r.Instance),
		Offset:   uint64(r.Offset),
		Hears:    textsOf(r.Hears),
		Pledged:  r.Pledge > 0,
		PledgeMs: r.Pledge.Milliseconds(),
		Refused:  r.Refused,
		Clock:    clockMessage(clock),
	}
	for _, entry := range r.Entries {
		message.Records = append(message.Records, &messenger.RelayedRecord{Offset: uint64(entry.Offset), Data: entry.Data})
	}
	return message
}

// Reply returns the answer to a heartbeat that a message holds.
func Reply(m *messenger.ExchangeReply) controller.ExchangeReply {
	reply := controller.ExchangeReply{
		Instance: identifier.InstanceID(m.GetInstance()),
		Offset:   identifier.Offset(m.GetOffset()),
		Hears:    instancesOf(m.GetHears()),
		Refused:  m.GetRefused(),
	}
	if m.GetPledged() {
		reply.Pledge = time.Duration(m.GetPledgeMs()) * time.Millisecond
	}
	for _, record := range m.GetRecords() {
		entry := reducer.Entry{Offset: identifier.Offset(record.GetOffset()), Data: record.GetData()}
		reply.Entries = append(reply.Entries, entry)
	}
	return reply
}

func loadMessages(reports []controller.ServerReport) []*messenger.ServerLoad {
	var messages []*messenger.ServerLoad
	for _, r := range reports {
		message := &messenger.ServerLoad{
			Server:         string(r.Server),
			Slots:          int32(r.Slots),
			Running:        int32(r.Running),
			Waiting:        int32(r.Waiting),
			ExpectedWaitMs: r.ExpectedWait.Milliseconds(),
			Down:           r.Down,
		}
		for _, p := range r.Partitions {
			message.PartitionLoads = append(message.PartitionLoads, &messenger.PartitionLoad{
				Service: string(p.Partition.Service),
				Index:   int32(p.Partition.Index),
				Load:    p.Load,
			})
		}
		messages = append(messages, message)
	}
	return messages
}

func reportsOf(messages []*messenger.ServerLoad) []controller.ServerReport {
	var reports []controller.ServerReport
	for _, m := range messages {
		report := controller.ServerReport{
			Server:       identifier.ServerName(m.GetServer()),
			Down:         m.GetDown(),
			Slots:        int(m.GetSlots()),
			Running:      int(m.GetRunning()),
			Waiting:      int(m.GetWaiting()),
			ExpectedWait: time.Duration(m.GetExpectedWaitMs()) * time.Millisecond,
		}
		for _, p := range m.GetPartitionLoads() {
			partition := identifier.PartitionID{
				Service: identifier.ServiceName(p.GetService()),
				Index:   identifier.PartitionIndex(p.GetIndex()),
			}
			report.Partitions = append(report.Partitions, controller.PartitionLoad{Partition: partition, Load: p.GetLoad()})
		}
		reports = append(reports, report)
	}
	return reports
}

func textsOf(ids []identifier.InstanceID) []string {
	texts := make([]string, 0, len(ids))
	for _, id := range ids {
		texts = append(texts, string(id))
	}
	return texts
}

func instancesOf(texts []string) []identifier.InstanceID {
	ids := make([]identifier.InstanceID, 0, len(texts))
	for _, text := range texts {
		ids = append(ids, identifier.InstanceID(text))
	}
	return ids
}

func clockMessage(h tracer.HybridTime) *messenger.HybridTime {
	return &messenger.HybridTime{WallMs: h.WallMS, Count: h.Count}
}

// Hybrid returns the reading of the hybrid clock that a message holds; without one it is the zero reading.
func Hybrid(m *messenger.HybridTime) tracer.HybridTime {
	return tracer.HybridTime{WallMS: m.GetWallMs(), Count: m.GetCount()}
}
