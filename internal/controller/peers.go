package controller

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/elector"
	"github.com/wasabibank/wasabibank/internal/forwarder"
	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/partitioner"
	"github.com/wasabibank/wasabibank/internal/resolver"
)

// peers are the clients of other instances, by address.
type peers struct {
	client  *http.Client
	clients map[string]herald.Herald
}

func newPeers() peers {
	dialer := net.Dialer{Timeout: heartbeatTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}
	return peers{client: &http.Client{Transport: transport}, clients: map[string]herald.Herald{}}
}

// http returns the HTTP client, which any goroutine may use.
func (p *peers) http() *http.Client { return p.client }

// get returns the client of the instance at address. Only the control goroutine calls it.
func (p *peers) get(address string) herald.Herald {
	if p.clients[address] == nil {
		p.clients[address] = herald.NewHeraldProtobufClient("http://"+address, p.client)
	}
	return p.clients[address]
}

// report sends the heartbeat of this instance to the leader.
func (c *Controller) report(now time.Time) {
	lead, ok := c.elector.Leader()
	own := lead.Identity.Instance == c.options.Self.Instance
	if !ok || own || c.reporting || now.Sub(c.reported) < c.interval() {
		return
	}
	c.reporting, c.reported = true, now
	c.unreported.Add(c.options.Forwarder.CollectLoads())
	loads := c.unreported
	c.unreported = emptyLoads()
	request := c.reportRequest(loads)
	peer := c.peers.get(lead.Identity.Address)
	c.options.Meter.Count(meter.ReportsSent)
	go func() {
		ctx, cancel := context.WithTimeout(c.context, heartbeatTimeout)
		defer cancel()
		sent := time.Now()
		reply, err := peer.Report(ctx, request)
		c.options.Meter.Observe(meter.ReportTime, time.Since(sent))
		c.post(func(now time.Time) {
			c.reporting = false
			if err != nil {
				c.options.Meter.Count(meter.ReportsFailed)
				refused := errors.Is(err, syscall.ECONNREFUSED)
				klog.InfoS("leader did not answer", "leader", lead.Identity.Instance, "refused", refused, "error", err)
				c.elector.ReportFailed(refused)
				c.unreported.Add(loads)
				return
			}
			c.takeReply(now, reply)
		})
	}()
}

func (c *Controller) reportRequest(loads forwarder.Loads) *herald.ReportRequest {
	request := &herald.ReportRequest{
		Member: c.member(), MapTerm: c.owners.Version().Term, MapSequence: c.owners.Version().Sequence,
		MembersVersion: c.version,
	}
	for service, keys := range loads.Keys {
		load := &herald.KeyLoad{Service: service}
		for key, requests := range keys {
			load.Keys = append(load.Keys, uint32(key))
			load.Requests = append(load.Requests, uint32(requests))
		}
		request.Keys = append(request.Keys, load)
	}
	for server, a := range loads.Answers {
		request.Servers = append(request.Servers, &herald.ServerLoad{
			Server: server, Answers: uint32(a.Count), WorkMs: uint32(a.TotalTime.Milliseconds()),
		})
	}
	return request
}

// self returns this instance as the others are to know it.
func (c *Controller) self() resolver.Member {
	self := c.options.Self
	self.Leaving = c.leaving
	return self
}

// member returns the same for messages.
func (c *Controller) member() *herald.Member { return encodeMember(c.self()) }

func encodeMember(m resolver.Member) *herald.Member {
	return &herald.Member{
		Instance: m.Instance, Incarnation: m.Incarnation, Address: m.Address, Domain: m.Domain, Leaving: m.Leaving,
		Capacity: uint32(m.Capacity),
	}
}

func decodeMember(m *herald.Member) resolver.Member {
	return resolver.Member{
		Instance: m.GetInstance(), Incarnation: m.GetIncarnation(), Address: m.GetAddress(), Domain: m.GetDomain(),
		Leaving: m.GetLeaving(), Capacity: int(m.GetCapacity()),
	}
}

// takeReply takes the leader's answer to a report.
func (c *Controller) takeReply(now time.Time, reply *herald.ReportReply) {
	c.elector.ReportAnswered(now, reply.GetLeading(), reply.GetStoreLost() || reply.GetYields())
	c.told(now, reply.GetLead())
	c.trust.Store(trustIn(now, c.interval()+trustMargin, reply))
	if reply.GetLeading() {
		if c.sources.Load() == nil || len(c.sources.Load().readers) == 0 {
			c.compare(reply.GetRead())
		}
		c.takeOwners(reply.GetOwners())
		c.takeMembers(reply.GetMembers())
	}
}

// told takes note of a lead that another instance knows of.
func (c *Controller) told(now time.Time, lead *herald.Lead) {
	if lead.GetTerm() != 0 {
		c.elector.ObserveLeader(now, decodeLead(lead))
	}
}

// takeOwners applies a change of the map of owners that fits the present one.
func (c *Controller) takeOwners(o *herald.Owners) {
	if o == nil || c.lead != nil {
		return
	}
	version := partitioner.Version{Term: o.GetTerm(), Sequence: o.GetSequence()}
	have := c.owners.Version()
	if !have.Less(version) {
		return
	}
	segments := herald.DecodeSegments(o.GetServices(), o.GetSegments())
	partitioner.SetPausedUntil(time.Now(), segments)
	if o.GetWhole() {
		c.owners = (*partitioner.Map)(nil).With(version, segments)
		c.dirty = true
		return
	}
	if have.Term != version.Term || have.Sequence < o.GetBase() {
		return // the next report asks for what is missing
	}
	c.owners = c.owners.With(version, segments)
	c.dirty = true
}

// takeMembers takes the leader's list of instances.
func (c *Controller) takeMembers(list *herald.Members) {
	if list == nil || c.lead != nil {
		return
	}
	c.version = list.GetVersion()
	c.members = nil
	for _, m := range list.GetMembers() {
		if m.GetInstance() != c.options.Self.Instance {
			c.members = append(c.members, decodeMember(m))
		}
	}
	c.dirty = true
}

// publish sends each instance what it does not know yet.
func (c *Controller) publish(now time.Time) {
	c.lead.published, c.lead.unpublished = now, false
	for name, r := range c.lead.members {
		if len(c.lead.members) < few || c.lead.concerned[name] || r.member.Instance == c.lead.predecessor.Instance {
			c.publishTo(now, r)
		}
	}
	clear(c.lead.concerned)
}

func (c *Controller) publishTo(now time.Time, r *registered) {
	if r.sent {
		r.again = true
		return
	}
	l := c.lead
	owners, members := c.newsFor(now, r.known, r.listed)
	if owners == nil && members == nil {
		return
	}
	r.sent, r.again = true, false
	request := &herald.PublishRequest{Lead: c.knownLead(), Owners: owners, Members: members}
	peer := c.peers.get(r.member.Address)
	go func() {
		ctx, cancel := context.WithTimeout(c.context, heartbeatTimeout)
		defer cancel()
		reply, err := peer.Publish(ctx, request)
		c.post(func(now time.Time) {
			if c.lead != l {
				return
			}
			r.sent = false
			if err != nil {
				klog.InfoS("instance did not take news", "instance", r.member.Instance, "error", err)
				return // its next report asks for it
			}
			l.hears(now, reply)
			if owners != nil {
				r.known = partitioner.Version{Term: owners.GetTerm(), Sequence: owners.GetSequence()}
			}
			if members != nil {
				r.listed = members.GetVersion()
			}
			if r.again {
				c.publishTo(now, r)
			}
		})
	}()
}

// hears takes note of who answered a publication: an earlier leader that has stepped down, or started anew, gives no
// orders any more.
func (l *lead) hears(now time.Time, reply *herald.PublishReply) {
	member := reply.GetMember()
	same := member.GetInstance() == l.predecessor.Instance
	if same && (!reply.GetLeading() || member.GetIncarnation() != l.predecessor.Incarnation) {
		klog.InfoS("earlier leader has stopped", "instance", l.predecessor.Instance)
		l.predecessor = elector.Identity{}
		l.granter.PredecessorStopped(now)
	}
}

// newsFor returns what an instance with the given versions does not know.
func (c *Controller) newsFor(now time.Time, known partitioner.Version, listed uint64) (*herald.Owners, *herald.Members) {
	l := c.lead
	var members *herald.Members
	if listed != l.version {
		members = &herald.Members{Version: l.version, Members: []*herald.Member{c.member()}}
		for _, r := range l.members {
			members.Members = append(members.Members, encodeMember(r.member))
		}
	}
	term := c.elector.Term()
	if known == (partitioner.Version{Term: term, Sequence: l.sequence}) {
		return nil, members
	}
	owners := &herald.Owners{Term: term, Sequence: l.sequence, Base: known.Sequence}
	var segments []partitioner.Segment
	if known.Term == term && len(l.deltas) > 0 && known.Sequence+1 >= l.deltas[0].sequence {
		for _, d := range l.deltas {
			if d.sequence > known.Sequence {
				segments = append(segments, d.segments...)
			}
		}
	} else {
		owners.Whole = true
		segments = c.owners.All()
	}
	owners.Services, owners.Segments = herald.EncodeSegments(segments)
	return owners, members
}

// Report implements herald.Herald.
func (c *Controller) Report(ctx context.Context, request *herald.ReportRequest) (*herald.ReportReply, error) {
	return ask(ctx, c, func(now time.Time) *herald.ReportReply { return c.takeReport(now, request) })
}

// Publish implements herald.Herald.
func (c *Controller) Publish(ctx context.Context, request *herald.PublishRequest) (*herald.PublishReply, error) {
	return ask(ctx, c, func(now time.Time) *herald.PublishReply {
		c.told(now, request.GetLead())
		c.follow(now)
		if lead, ok := c.elector.Leader(); ok && lead.Term == request.GetLead().GetTerm() {
			c.takeOwners(request.GetOwners())
			c.takeMembers(request.GetMembers())
		}
		return &herald.PublishReply{Member: c.member(), Leading: c.lead != nil}
	})
}

// knownLead returns the newest lead that this instance knows of.
func (c *Controller) knownLead() *herald.Lead {
	lead, ok := c.elector.Leader()
	if !ok {
		return nil
	}
	return encodeLead(lead, "")
}

func encodeLead(lead elector.Leader, domain string) *herald.Lead {
	return &herald.Lead{Term: lead.Term, Member: &herald.Member{
		Instance: lead.Identity.Instance, Incarnation: lead.Identity.Incarnation, Address: lead.Identity.Address,
		Domain: domain,
	}}
}

func decodeLead(lead *herald.Lead) elector.Leader {
	return elector.Leader{Term: lead.GetTerm(), Identity: elector.Identity{
		Instance: lead.GetMember().GetInstance(), Incarnation: lead.GetMember().GetIncarnation(),
		Address: lead.GetMember().GetAddress(),
	}}
}

// ask runs answer on the control goroutine.
func ask[T any](ctx context.Context, c *Controller, answer func(now time.Time) T) (T, error) {
	done := make(chan T, 1)
	select {
	case c.events <- func(now time.Time) { done <- answer(now) }:
	case <-ctx.Done():
		var none T
		return none, twirp.NewError(twirp.DeadlineExceeded, "instance is busy")
	}
	select {
	case reply := <-done:
		return reply, nil
	case <-ctx.Done():
		var none T
		return none, twirp.NewError(twirp.DeadlineExceeded, "instance is busy")
	}
}

// takeReport takes the report of an instance.
func (c *Controller) takeReport(now time.Time, request *herald.ReportRequest) *herald.ReportReply {
	reply := &herald.ReportReply{
		Leading: c.lead != nil, Lead: c.knownLead(), StoreLost: c.elector.StoreUnreachable(now),
		StoreSlow: c.elector.PendingCallTime(now) > storeSlow, Read: c.relay.ends(),
	}
	if c.lead == nil {
		return reply
	}
	c.register(now, decodeMember(request.GetMember()))
	c.learn(decodeLoads(request))
	known := partitioner.Version{Term: request.GetMapTerm(), Sequence: request.GetMapSequence()}
	if r := c.lead.members[request.GetMember().GetInstance()]; r != nil && !r.sent {
		r.known, r.listed = known, request.GetMembersVersion()
	}
	reply.Yields = c.yieldsTo(now, request.GetMember().GetInstance())
	reply.Owners, reply.Members = c.newsFor(now, known, request.GetMembersVersion())
	return reply
}

// yieldsTo reports whether an instance should lead instead of this one: it can carry far more, and most of all.
func (c *Controller) yieldsTo(now time.Time, instance string) bool {
	l := c.lead
	if now.Sub(l.since) < settleFor {
		return false
	}
	asking := l.members[instance].member
	for _, r := range l.members {
		if r.member.Capacity > asking.Capacity {
			return false
		}
	}
	return !asking.Leaving && asking.Capacity >= muchLarger*c.options.Self.Capacity
}

// register takes note that an instance lives.
func (c *Controller) register(now time.Time, m resolver.Member) {
	l := c.lead
	r := l.members[m.Instance]
	if r != nil && r.member == m {
		r.seen = now
		return
	}
	klog.InfoS("instance", "instance", m.Instance, "address", m.Address, "domain", m.Domain, "leaving", m.Leaving)
	l.members[m.Instance] = &registered{member: m, seen: now}
	c.membersChanged(now)
}

func decodeLoads(request *herald.ReportRequest) forwarder.Loads {
	loads := emptyLoads()
	for _, k := range request.GetKeys() {
		keys := map[uint16]int{}
		for i, key := range k.GetKeys() {
			if i < len(k.GetRequests()) && key <= partitioner.MaxKey {
				keys[uint16(key)] += int(k.GetRequests()[i])
			}
		}
		loads.Keys[k.GetService()] = keys
	}
	for _, s := range request.GetServers() {
		loads.Answers[s.GetServer()] = forwarder.AnswerStats{
			Count: int(s.GetAnswers()), TotalTime: time.Duration(s.GetWorkMs()) * time.Millisecond,
		}
	}
	return loads
}
