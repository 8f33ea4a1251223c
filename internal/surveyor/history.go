package surveyor

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/faulter"
	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/internal/reducer"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// history is a log that can be continued by hand, with its fold.
type history struct {
	genesis reducer.Genesis
	entries []reducer.Entry
	state   *reducer.State
	service identifier.ServiceName
	serial  int
}

// newHistory returns the log of a system that has started and given every partition an owner.
func newHistory(entries, servers, partitions int) (*history, error) {
	w := faulter.NewWorld(faulter.Setup{Seed: 1, Instances: entries, Servers: servers, Partitions: partitions})
	w.Settle()
	if open := w.Unserved(); open > 0 {
		return nil, errors.Errorf("%d partitions of %d are not served after the start", open, partitions)
	}
	h := &history{genesis: w.Genesis(), entries: w.Records()}
	state, err := reducer.Load(h.genesis, h.entries)
	if err != nil {
		return nil, err
	}
	h.state = state
	h.service = state.ServiceNames()[0]
	return h, nil
}

// add appends a record of author; the fold must accept it.
func (h *history) add(author identifier.InstanceID, record recorder.Record) error {
	h.serial++
	id := identifier.RecordID(fmt.Sprintf("%s/survey/%d", author, h.serial))
	data, err := recorder.Encode(recorder.NewEnvelope(id, author, time.UnixMilli(0), record))
	if err != nil {
		return err
	}
	entry := reducer.Entry{Offset: h.state.Next(), Data: data}
	verdict, err := h.state.Apply(entry.Offset, entry.Data)
	if err != nil {
		return err
	}
	if refused, ok := verdict.(reducer.Refused); ok {
		return errors.Errorf("%s refused: %s", recorder.KindOf(record), refused.Detail)
	}
	h.entries = append(h.entries, entry)
	return nil
}

// addMember puts one more instance on the roster; its record gives it witnesses, as an instance in good standing has.
func (h *history) addMember(witnesses int) error {
	name := fmt.Sprintf("member_%d", h.serial)
	id := identifier.InstanceID(name + "-1.1")
	join := recorder.Join{Name: name, Domain: "a", PeerAddress: "10.0.9.9:7000"}
	if err := h.add(id, join); err != nil {
		return err
	}
	return h.setWitnesses(id, witnesses)
}

func (h *history) setWitnesses(id identifier.InstanceID, limit int) error {
	var others []identifier.InstanceID
	for _, m := range h.state.Members() {
		if m.ID != id && len(others) < limit {
			others = append(others, m.ID)
		}
	}
	member, _ := h.state.GetMemberByID(id)
	return h.add(id, recorder.SetWitnesses{Version: member.WitnessVersion, Witnesses: others})
}

// pin gives key a partition of its own, from base.
func (h *history) pin(key string, base int) error {
	service, _ := h.state.GetServiceByName(h.service)
	partition := service.Partitions[base]
	known, _ := h.state.GetServerByName(partition.Owner)
	return h.add(known.Front.Holder, recorder.Pin{
		Service: h.service,
		Key:     key,
		Base:    identifier.PartitionIndex(base),
		Epoch:   partition.Epoch,
		Term:    known.Front.Term,
		Version: service.PinVersion,
	})
}

// unpin returns key to base.
func (h *history) unpin(key string, base int) error {
	service, _ := h.state.GetServiceByName(h.service)
	partition := service.Partitions[base]
	known, _ := h.state.GetServerByName(partition.Owner)
	return h.add(known.Front.Holder, recorder.Unpin{
		Service: h.service,
		Key:     key,
		Base:    identifier.PartitionIndex(base),
		Epoch:   partition.Epoch,
		Term:    known.Front.Term,
		Version: service.PinVersion,
	})
}
