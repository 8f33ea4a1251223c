// Package router answers which backend server owns a key and which instance fronts that server.
// The control thread publishes an immutable View; traffic reads it without a lock.
package router

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/hasher"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// ErrNoRoute reports that no route is known at present; nothing was sent.
type ErrNoRoute struct {
	reason string
}

// Error implements error.
func (e ErrNoRoute) Error() string { return "no route: " + e.reason }

// Reason returns the cause in snake case: no_bundle, no_such_service, no_owner or no_front.
func (e ErrNoRoute) Reason() string { return e.reason }

// IsErrNoRoute reports whether err is an ErrNoRoute.
func IsErrNoRoute(err error) bool {
	var missing ErrNoRoute
	return errors.As(err, &missing)
}

// Front is the instance that alone sends to a backend server, under Term.
type Front struct {
	instance    identifier.InstanceID
	peerAddress string
	term        identifier.Term
}

// NewFront returns a Front; peerAddress is host:port of the instance's peer port.
func NewFront(instance identifier.InstanceID, peerAddress string, term identifier.Term) Front {
	return Front{instance: instance, peerAddress: peerAddress, term: term}
}

// Instance returns the fronting instance, or "" when the server has none.
func (f Front) Instance() identifier.InstanceID { return f.instance }

// PeerAddress returns host:port of the instance's peer port.
func (f Front) PeerAddress() string { return f.peerAddress }

// Term returns the fencing token.
func (f Front) Term() identifier.Term { return f.term }

// Route says where one request goes.
type Route struct {
	service   bundler.Service
	server    bundler.Server
	partition identifier.PartitionID
	epoch     identifier.Epoch
	front     Front
}

// NewRoute returns a Route.
func NewRoute(service bundler.Service, server bundler.Server, partition identifier.PartitionID, epoch identifier.Epoch, front Front) Route {
	return Route{service: service, server: server, partition: partition, epoch: epoch, front: front}
}

// Service returns the service of the request.
func (r Route) Service() bundler.Service { return r.service }

// Server returns the backend server that owns the key, or the chosen one where the service is not keyed.
func (r Route) Server() bundler.Server { return r.server }

// Partition returns the partition of the key; its index is 0 where the service is not keyed.
func (r Route) Partition() identifier.PartitionID { return r.partition }

// Epoch returns the ownership epoch of the partition.
func (r Route) Epoch() identifier.Epoch { return r.epoch }

// Front returns the instance that fronts the server.
func (r Route) Front() Front { return r.front }

// Owner is the owner of one partition at an epoch; an empty server is none.
type Owner struct {
	Server identifier.ServerName
	Epoch  identifier.Epoch
}

// View is an immutable picture of bundle, ownership and fronts at one offset of the log.
type View struct {
	offset identifier.Offset
	self   identifier.InstanceID
	bundle *bundler.Bundle
	owners map[identifier.ServiceName][]Owner
	pins   map[identifier.ServiceName]map[string]identifier.PartitionIndex
	fronts map[identifier.ServerName]Front
	owned  map[identifier.ServerName][]identifier.PartitionID
}

// Picture is what a View is made of; the View takes over its maps.
type Picture struct {
	Offset identifier.Offset
	Self   identifier.InstanceID
	Bundle *bundler.Bundle
	Owners map[identifier.ServiceName][]Owner
	Pins   map[identifier.ServiceName]map[string]identifier.PartitionIndex
	Fronts map[identifier.ServerName]Front
}

// NewView returns a View of p.
func NewView(p Picture) *View {
	return &View{
		offset: p.Offset,
		self:   p.Self,
		bundle: p.Bundle,
		owners: p.Owners,
		pins:   p.Pins,
		fronts: p.Fronts,
		owned:  ownedByServer(p.Owners),
	}
}

func ownedByServer(owners map[identifier.ServiceName][]Owner) map[identifier.ServerName][]identifier.PartitionID {
	owned := map[identifier.ServerName][]identifier.PartitionID{}
	for _, service := range slices.Sorted(maps.Keys(owners)) {
		for i, owner := range owners[service] {
			id := identifier.PartitionID{Service: service, Index: identifier.PartitionIndex(i)}
			owned[owner.Server] = append(owned[owner.Server], id)
		}
	}
	return owned
}

// Offset returns the offset after the newest folded record.
func (v *View) Offset() identifier.Offset { return v.offset }

// Self returns the instance whose view this is.
func (v *View) Self() identifier.InstanceID { return v.self }

// Bundle returns the bundle in force, or nil.
func (v *View) Bundle() *bundler.Bundle { return v.bundle }

// GetFrontByServer returns the instance that fronts server; its instance is "" when there is none.
func (v *View) GetFrontByServer(server identifier.ServerName) Front { return v.fronts[server] }

// GetServiceByName returns a service of the bundle in force. The error is an ErrNoRoute.
func (v *View) GetServiceByName(name identifier.ServiceName) (bundler.Service, error) {
	if v.bundle == nil {
		return bundler.Service{}, ErrNoRoute{reason: "no_bundle"}
	}
	service, ok := v.bundle.GetServiceByName(name)
	if !ok {
		return bundler.Service{}, ErrNoRoute{reason: "no_such_service"}
	}
	return service, nil
}

// PartitionOf returns the partition of key in a keyed service.
func (v *View) PartitionOf(service bundler.Service, key string) identifier.PartitionID {
	if index, ok := v.pins[service.Name()][key]; ok {
		return identifier.PartitionID{Service: service.Name(), Index: index}
	}
	return identifier.PartitionID{Service: service.Name(), Index: hasher.Partition(key, service.Partitions())}
}

// GetOwnerByPartition returns the owner of a partition; its server is "" when there is none.
func (v *View) GetOwnerByPartition(p identifier.PartitionID) Owner {
	owners := v.owners[p.Service]
	if int(p.Index) >= len(owners) {
		return Owner{}
	}
	return owners[p.Index]
}

// PartitionsOf returns the partitions that server owns, by service and index.
func (v *View) PartitionsOf(server identifier.ServerName) []identifier.PartitionID {
	return v.owned[server]
}

// RouteKey returns the route of key in a keyed service. The error is an ErrNoRoute.
func (v *View) RouteKey(service bundler.Service, key string) (Route, error) {
	partition := v.PartitionOf(service, key)
	owner := v.GetOwnerByPartition(partition)
	if owner.Server == "" {
		return Route{}, ErrNoRoute{reason: "no_owner"}
	}
	return v.routeTo(service, owner.Server, partition, owner.Epoch)
}

// RouteServer returns the route to one server of a service that is not keyed. The error is an ErrNoRoute.
func (v *View) RouteServer(service bundler.Service, server identifier.ServerName) (Route, error) {
	return v.routeTo(service, server, identifier.PartitionID{Service: service.Name()}, 0)
}

func (v *View) routeTo(service bundler.Service, name identifier.ServerName, partition identifier.PartitionID, epoch identifier.Epoch) (Route, error) {
	server, ok := service.GetServerByName(name)
	if !ok {
		return Route{}, ErrNoRoute{reason: "no_owner"}
	}
	front, ok := v.fronts[name]
	if !ok || front.instance == "" {
		return Route{}, ErrNoRoute{reason: "no_front"}
	}
	return NewRoute(service, server, partition, epoch, front), nil
}

// Table holds the present View and the gates. The zero Table has an empty View.
type Table struct {
	view  atomic.Pointer[View]
	gates sync.Map

	mu      sync.Mutex
	changed chan struct{} // closed by the next Publish; nil while no one waits
}

// View returns the present View, never nil.
func (t *Table) View() *View {
	if v := t.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// Publish replaces the View.
func (t *Table) Publish(v *View) {
	t.view.Store(v)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}

// Changed returns a channel that the next Publish closes. Who takes it before reading the View misses no change.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.changed
}

// Gate returns the gate of server, making it on first use.
func (t *Table) Gate(server identifier.ServerName) *Gate {
	if g, ok := t.gates.Load(server); ok {
		return g.(*Gate)
	}
	g, _ := t.gates.LoadOrStore(server, &Gate{})
	return g.(*Gate)
}
