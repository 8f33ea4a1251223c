package reducer

import (
	"fmt"

	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// historyLimit is how many bundle changes the state keeps.
const historyLimit = 200

func (st *State) applyPublishBundle(origin Provenance, r recorder.PublishBundle) refusal {
	next, err := r.Signed.Open("bundle")
	if err != nil {
		return refusal{reason: ReasonBadBundle, detail: err.Error()}
	}
	if err := r.Signed.VerifyAgainst(st.signers()); err != nil {
		return refusal{reason: ReasonBadSignature, detail: err.Error()}
	}
	if err := bundler.CheckSuccessor(st.bundle, next); err != nil {
		return refusal{reason: ReasonNotSuccessor, detail: st.lostTo(err)}
	}
	if no := st.checkDeclared(next); no.refused() {
		return no
	}
	st.adoptBundle(origin, r.Signed, next)
	return refusal{}
}

// checkDeclared refuses a bundle that gives a name of an earlier bundle another meaning: epochs, terms and the keys'
// partitions go on from what the name had.
func (st *State) checkDeclared(next *bundler.Bundle) refusal {
	for _, service := range next.Services() {
		if known, ok := st.s.Services[service.Name()]; ok && known.Base != service.Partitions() {
			return refusal{
				reason: ReasonNotSuccessor,
				detail: fmt.Sprintf("service %s once had %d partitions and must keep them", service.Name(), known.Base),
			}
		}
		for _, server := range service.Servers() {
			known, ok := st.s.Servers[server.Name()]
			if ok && (known.Address != server.Address() || known.Service != service.Name()) {
				return refusal{
					reason: ReasonNotSuccessor,
					detail: fmt.Sprintf("server %s was once declared at %s for %s", server.Name(), known.Address, known.Service),
				}
			}
		}
	}
	return refusal{}
}

// signers returns those who may sign off the next bundle.
func (st *State) signers() []bundler.Signer {
	if st.bundle == nil {
		return st.genesis.FirstSigners
	}
	return st.bundle.Signers()
}

func (st *State) lostTo(cause error) string {
	if len(st.s.History) == 0 {
		return cause.Error()
	}
	last := st.s.History[len(st.s.History)-1]
	return fmt.Sprintf("%v; in force is version %d by %s, approved by %s, at offset %d",
		cause, last.Version, last.Author, last.Approver, last.Provenance.Offset)
}

func (st *State) adoptBundle(origin Provenance, signed bundler.Signed, next *bundler.Bundle) {
	st.bundle = next
	st.s.Signed = &signed
	st.s.Widest.include(next.Timings())
	st.s.History = append(st.s.History, BundleChange{
		Version:    next.Version(),
		Digest:     next.Digest(),
		Author:     next.Author(),
		Approver:   next.Approver(),
		Provenance: origin,
	})
	if extra := len(st.s.History) - historyLimit; extra > 0 {
		st.s.History = st.s.History[extra:]
	}
	for _, service := range next.Services() {
		st.declareService(service)
	}
	for _, id := range next.RetiredInstances() {
		st.removeMember(origin, id, false)
	}
}

// declareService adds what the state lacks of service. What an earlier bundle declared stays, so that epochs and
// terms never start again.
func (st *State) declareService(service bundler.Service) {
	for _, server := range service.Servers() {
		known, ok := st.s.Servers[server.Name()]
		if !ok {
			known = &ServerState{Service: service.Name()}
			st.s.Servers[server.Name()] = known
		}
		known.Address = server.Address()
	}
	if !service.Keyed() {
		return
	}
	if _, ok := st.s.Services[service.Name()]; ok {
		return
	}
	st.s.Services[service.Name()] = &ServiceState{
		Base:       service.Partitions(),
		Partitions: make([]PartitionState, service.Partitions()),
	}
}

// declaredServer reports whether the bundle in force has server for service.
func (st *State) declaredServer(service identifier.ServiceName, server identifier.ServerName) bool {
	if st.bundle == nil {
		return false
	}
	declared, ok := st.bundle.GetServiceByName(service)
	if !ok {
		return false
	}
	_, ok = declared.GetServerByName(server)
	return ok
}
