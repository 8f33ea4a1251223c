package controller

import (
	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/inspector"
	"github.com/wasabibank/wasabibank/internal/resolver"
)

// FindOwner returns the owner of a key according to view. The error is an inspector.ErrNotFound if there is no keyed
// service of that name.
func FindOwner(view *resolver.View, service string, key uint16) (inspector.OwnerAnswer, error) {
	if view == nil {
		return inspector.OwnerAnswer{}, errors.New("no bundle is in force here")
	}
	if s, ok := view.Table.Service(service); !ok || !s.Keyed {
		return inspector.OwnerAnswer{}, inspector.NewErrNotFound("keyed service: " + service)
	}
	answer := inspector.OwnerAnswer{
		Instance: view.Self.Instance, OwnerMapVersion: encodeVersion(view.Owners.Version()), Service: service, Key: key,
		Moving: true,
	}
	if segment, ok := view.Owners.Find(service, key); ok {
		answer.Server, answer.Moving = segment.Server, segment.Moving
		answer.Dispatcher = dispatcherOf(view, segment.Server)
	}
	return answer, nil
}

// dispatcherOf returns the dispatcher of a server that owns keys.
func dispatcherOf(view *resolver.View, server string) string {
	pool, ok := view.KeyedPool(server)
	if !ok {
		return ""
	}
	return view.Dispatcher(pool, func(string) bool { return false }).Instance
}
