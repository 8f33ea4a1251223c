package runner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/controller"
	"github.com/wasabibank/wasabibank/internal/presenter"
	"github.com/wasabibank/wasabibank/internal/reducer"
	"github.com/wasabibank/wasabibank/internal/tracer"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// askTimeout bounds a question to the control thread.
const askTimeout = time.Second

// source answers the admin API from the control thread.
type source struct {
	runner *Runner
}

// ask runs f on the control thread and waits for it.
func (s source) ask(f func(now time.Time, c *controller.Controller)) error {
	ctx, cancel := context.WithTimeout(s.runner.ctx, askTimeout)
	defer cancel()
	done := make(chan struct{})
	l := s.runner.loop
	l.call(ctx, func(now time.Time) {
		f(now, l.control)
		close(done)
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.New("the control thread does not answer")
	}
}

// Ready implements presenter.Source.
func (s source) Ready(time.Time) (bool, string) {
	reason := ""
	err := s.ask(func(now time.Time, c *controller.Controller) { reason = c.NotReady(now) })
	if err != nil {
		return false, "busy"
	}
	return reason == "", reason
}

// Timeline implements presenter.Source.
func (s source) Timeline() tracer.Page { return s.runner.ring.Page() }

// Owner implements presenter.Source.
func (s source) Owner(service identifier.ServiceName, key string) (presenter.OwnerAnswer, error) {
	var answer presenter.OwnerAnswer
	var failure error
	err := s.ask(func(_ time.Time, c *controller.Controller) { answer, failure = s.ownerOf(c, service, key) })
	if err != nil {
		return presenter.OwnerAnswer{}, err
	}
	return answer, failure
}

func (s source) ownerOf(c *controller.Controller, name identifier.ServiceName, key string) (presenter.OwnerAnswer, error) {
	view := s.runner.table.View()
	service, err := view.GetServiceByName(name)
	if err != nil {
		return presenter.OwnerAnswer{}, presenter.NewErrNotFound("service " + string(name))
	}
	state, ok := c.State().GetServiceByName(name)
	if !ok {
		return presenter.OwnerAnswer{}, presenter.NewErrNotFound("keyed service " + string(name))
	}
	partition := view.PartitionOf(service, key)
	owned := state.Partitions[partition.Index]
	server, _ := c.State().GetServerByName(owned.Owner)
	return presenter.OwnerAnswer{
		Instance:   c.ID(),
		Offset:     c.State().Next(),
		Service:    name,
		Key:        key,
		Partition:  partition,
		Pinned:     int(partition.Index) >= state.Base,
		Server:     owned.Owner,
		Epoch:      owned.Epoch,
		Since:      provenanceOf(owned.Provenance),
		Front:      server.Front.Holder,
		Term:       server.Front.Term,
		FrontSince: provenanceOf(server.Front.Provenance),
	}, nil
}

func provenanceOf(p reducer.Provenance) presenter.Provenance {
	return presenter.Provenance{
		Offset: p.Offset,
		Record: p.Record,
		Author: p.Author,
		Time:   time.UnixMilli(p.WallMS).UTC(),
	}
}

// Status implements presenter.Source.
func (s source) Status(now time.Time) presenter.Status {
	var status presenter.Status
	_ = s.ask(func(now time.Time, c *controller.Controller) { status = s.statusOf(now, c) })
	return status
}

func (s source) statusOf(now time.Time, c *controller.Controller) presenter.Status {
	reason := c.NotReady(now)
	status := presenter.Status{
		Instance: c.ID(),
		Name:     s.runner.settings.Instance(),
		Domain:   s.runner.settings.Domain(),
		Offset:   c.State().Next(),
		Ready:    presenter.Readiness{Ready: reason == "", Reason: reason},
		Lease:    leaseOf(now, c),
		Bundle:   bundleOf(c.State()),
	}
	for _, m := range c.State().Members() {
		status.Roster = append(status.Roster, presenter.Member{
			Instance:    m.ID,
			Name:        m.Name,
			Domain:      m.Domain,
			PeerAddress: m.PeerAddress,
			Expelled:    m.Expelled,
			HeardAgoMS:  c.HeardAgo(now, m.ID).Milliseconds(),
		})
	}
	status.Servers = s.serversOf(now, c)
	return status
}

func leaseOf(now time.Time, c *controller.Controller) presenter.Lease {
	left := c.LeaseUntil().Sub(now)
	switch {
	case left <= 0:
		return presenter.Lease{State: presenter.LeaseNone}
	case c.Current(now):
		return presenter.Lease{State: presenter.LeaseByLog, LeftMS: left.Milliseconds()}
	default:
		return presenter.Lease{State: presenter.LeaseByPledges, LeftMS: left.Milliseconds()}
	}
}

func bundleOf(state *reducer.State) presenter.Bundle {
	history := state.History()
	if len(history) == 0 {
		return presenter.Bundle{}
	}
	last := history[len(history)-1]
	return presenter.Bundle{
		Version:  last.Version,
		Digest:   last.Digest,
		Author:   last.Author,
		Approver: last.Approver,
		Accepted: provenanceOf(last.Provenance),
	}
}

func (s source) serversOf(now time.Time, c *controller.Controller) []presenter.Server {
	b := c.State().Bundle()
	if b == nil {
		return nil
	}
	var servers []presenter.Server
	for _, service := range b.Services() {
		for _, declared := range service.Servers() {
			known, _ := c.State().GetServerByName(declared.Name())
			server := presenter.Server{
				Name:     declared.Name(),
				Services: []identifier.ServiceName{service.Name()},
				Domain:   declared.Domain(),
				Front:    known.Front.Holder,
				Term:     known.Front.Term,
				Checks:   known.Met && known.Checks,
				State:    c.ServerState(now, declared.Name()),
				Slots:    declared.Slots(),
			}
			server.Partitions = c.CountOwned(declared.Name())
			if report := c.Report(now, declared.Name()); report.Server != "" {
				server.Running = report.Running
				server.Waiting = report.Waiting
				server.ExpectedWaitMS = report.ExpectedWait.Milliseconds()
			}
			servers = append(servers, server)
		}
	}
	return servers
}
