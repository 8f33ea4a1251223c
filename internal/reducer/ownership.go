package reducer

import (
	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// MaxPins is the largest number of pinned keys of one service.
const MaxPins = 1024

func (st *State) applyAssign(origin Provenance, r recorder.Assign) refusal {
	service, ok := st.s.Services[r.Service]
	if !ok {
		return refusal{reason: ReasonUnknown, detail: string(r.Service) + " is not keyed"}
	}
	if no := checkMoves(service, "", r.Moves); no.refused() {
		return no
	}
	st.move(origin, r.Service, service, r.Moves)
	return refusal{}
}

func (st *State) applyReassign(origin Provenance, r recorder.Reassign) refusal {
	service, ok := st.s.Services[r.Service]
	if !ok {
		return refusal{reason: ReasonUnknown, detail: string(r.Service) + " is not keyed"}
	}
	if r.From == "" {
		return refusal{reason: ReasonMalformed, detail: "no server to move from"}
	}
	if no := st.checkFront(r.From, origin.Author, r.Term); no.refused() {
		return no
	}
	if no := checkMoves(service, r.From, r.Moves); no.refused() {
		return no
	}
	st.move(origin, r.Service, service, r.Moves)
	return refusal{}
}

// checkMoves refuses unless every partition is owned by from at the epoch that its move supposes.
func checkMoves(service *ServiceState, from identifier.ServerName, moves []recorder.PartitionMove) refusal {
	if len(moves) == 0 {
		return refusal{reason: ReasonMalformed, detail: "no partition"}
	}
	seen := map[identifier.PartitionIndex]bool{}
	for _, move := range moves {
		if move.Index < 0 || int(move.Index) >= len(service.Partitions) || seen[move.Index] {
			return refusal{reason: ReasonUnknown, detail: "no such partition, or it is named twice"}
		}
		seen[move.Index] = true
		partition := service.Partitions[move.Index]
		if partition.Owner != from || partition.Epoch != move.Epoch {
			return refusal{reason: ReasonStale, detail: "the partition has changed its owner since"}
		}
	}
	return refusal{}
}

// move gives the partitions their next owners. A next owner that is not declared any more leaves the partition
// without one: a record that was refused once must never be accepted when it is repeated.
func (st *State) move(origin Provenance, name identifier.ServiceName, s *ServiceState, moves []recorder.PartitionMove) {
	for _, move := range moves {
		partition := &s.Partitions[move.Index]
		partition.Owner = ""
		if st.declaredServer(name, move.To) {
			partition.Owner = move.To
		}
		partition.Epoch++
		partition.Provenance = origin
	}
}

func (st *State) applyPin(origin Provenance, r recorder.Pin) refusal {
	service, ok := st.s.Services[r.Service]
	if !ok {
		return refusal{reason: ReasonUnknown, detail: string(r.Service) + " is not keyed"}
	}
	if r.Key == "" || service.pinOf(r.Key) >= 0 {
		return refusal{reason: ReasonRepeat, detail: "the key is pinned"}
	}
	if r.Version != service.PinVersion {
		return refusal{reason: ReasonStale, detail: "the pins have changed since"}
	}
	if no := st.checkBase(origin, service, r.Base, r.Epoch, r.Term); no.refused() {
		return no
	}
	slot := service.freePin(r.Base)
	if slot < 0 {
		return refusal{reason: ReasonHeld, detail: "the service has its largest number of pinned keys"}
	}
	pin := &service.Pins[slot]
	pin.Key = r.Key
	pin.Base = r.Base
	service.PinVersion++
	partition := &service.Partitions[pin.Index]
	partition.Owner = service.Partitions[r.Base].Owner
	partition.Epoch++
	partition.Provenance = origin
	return refusal{}
}

// checkBase refuses unless the author fronts the owner of the base partition, which is at epoch.
func (st *State) checkBase(origin Provenance, service *ServiceState, base identifier.PartitionIndex, epoch identifier.Epoch, term identifier.Term) refusal {
	if base < 0 || int(base) >= service.Base {
		return refusal{reason: ReasonUnknown, detail: "no such partition"}
	}
	partition := service.Partitions[base]
	if partition.Epoch != epoch || partition.Owner == "" {
		return refusal{reason: ReasonStale, detail: "the partition has changed its owner since"}
	}
	return st.checkFront(partition.Owner, origin.Author, term)
}

// pinOf returns the place of key among the pins, or -1.
func (s *ServiceState) pinOf(key string) int {
	for i, pin := range s.Pins {
		if pin.Key == key {
			return i
		}
	}
	return -1
}

// freePin returns the place of a free pin, made if need be, or -1.
func (s *ServiceState) freePin(base identifier.PartitionIndex) int {
	if i := s.pinOf(""); i >= 0 {
		return i
	}
	if len(s.Pins) >= MaxPins {
		return -1
	}
	index := identifier.PartitionIndex(s.Base + len(s.Pins))
	s.Pins = append(s.Pins, PinState{Base: base, Index: index})
	s.Partitions = append(s.Partitions, PartitionState{})
	return len(s.Pins) - 1
}

func (st *State) applyUnpin(origin Provenance, r recorder.Unpin) refusal {
	service, ok := st.s.Services[r.Service]
	if !ok {
		return refusal{reason: ReasonUnknown, detail: string(r.Service) + " is not keyed"}
	}
	if r.Version != service.PinVersion {
		return refusal{reason: ReasonStale, detail: "the pins have changed since"}
	}
	slot := service.pinOf(r.Key)
	if r.Key == "" || slot < 0 || service.Pins[slot].Base != r.Base {
		return refusal{reason: ReasonUnknown, detail: "the key is not pinned from that partition"}
	}
	if no := st.checkBase(origin, service, r.Base, r.Epoch, r.Term); no.refused() {
		return no
	}
	pinned := &service.Partitions[service.Pins[slot].Index]
	if pinned.Owner != service.Partitions[r.Base].Owner {
		return refusal{reason: ReasonHeld, detail: "the key's partition has another owner"}
	}
	pinned.Owner = ""
	pinned.Epoch++
	pinned.Provenance = origin
	service.Pins[slot].Key = ""
	service.PinVersion++
	return refusal{}
}
