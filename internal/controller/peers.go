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
	"github.com/wasabibank/wasabibank/internal/exchanger"
	"github.com/wasabibank/wasabibank/internal/forwarder"
	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/partitioner"
	"github.com/wasabibank/wasabibank/internal/resolver"
)

// peers holds the clients for other instances, by address.
type peers struct {
	client  *http.Client
	clients map[string]herald.Herald
}

func newPeers() peers {
	dialer := net.Dialer{Timeout: peerCallTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, MaxResponseHeaderBytes: maxPeerHeaderBytes,
	}
	return peers{client: &http.Client{Transport: limitedTransport{transport}}, clients: map[string]herald.Herald{}}
}

const (
	// MaxPeerMessageBytes bounds a message between instances. An owner map of 10,000 ranges has less than 1 MB.
	MaxPeerMessageBytes = 16 << 20
	// maxPeerHeaderBytes bounds the header of an answer of another instance.
	maxPeerHeaderBytes = 64 << 10
)

// limitedTransport limits the bodies of answers to MaxPeerMessageBytes, and fails for answers with an invalid status line.
type limitedTransport struct{ transport http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t limitedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := exchanger.CheckResponse(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	response.Body = http.MaxBytesReader(nil, response.Body, MaxPeerMessageBytes)
	return response, nil
}

// httpClient returns the HTTP client, which is safe for concurrent use.
func (p *peers) httpClient() *http.Client { return p.client }

// get returns the client for the instance at address. Only the control loop may call it.
func (p *peers) get(address string) herald.Herald {
	if p.clients[address] == nil {
		p.clients[address] = herald.NewHeraldProtobufClient("http://"+address, p.client)
	}
	return p.clients[address]
}

// sendReport sends the report of this instance to the leader, when it is due.
func (c *Controller) sendReport(now time.Time) {
	leader, ok := c.elector.Leader()
	selfLeads := leader.Identity.Instance == c.options.Self.Instance
	if !ok || selfLeads || c.reportPending || now.Sub(c.lastReport) < c.reportInterval() {
		return
	}
	c.reportPending, c.lastReport = true, now
	c.unreported.Add(c.options.Forwarder.CollectLoads(time.Now()))
	loads := c.unreported
	c.unreported = emptyLoads()
	request := c.reportRequest(now, loads)
	peer := c.peers.get(leader.Identity.Address)
	c.options.Meter.Count(meter.ReportsSent)
	go func() {
		ctx, cancel := context.WithTimeout(c.context, peerCallTimeout)
		defer cancel()
		sent := time.Now()
		reply, err := peer.Report(ctx, request)
		c.options.Meter.Observe(meter.ReportTime, time.Since(sent))
		c.post(func(now time.Time) {
			c.reportPending = false
			if err != nil {
				c.options.Meter.Count(meter.ReportsFailed)
				refused := errors.Is(err, syscall.ECONNREFUSED)
				klog.InfoS("leader did not answer", "leader", leader.Identity.Instance, "refused", refused, "error", err)
				c.elector.ReportFailed(leader, refused)
				c.unreported.Add(loads)
				c.leavingServers.reportFailed()
				c.limitReports.reportFailed()
				c.quarantineReports.reportFailed()
				return
			}
			if reply.GetLeading() {
				c.answeredReport = sent
				c.leavingServers.reportAnswered()
				c.limitReports.reportAnswered()
				c.quarantineReports.reportAnswered()
			} else {
				c.leavingServers.reportFailed()
				c.limitReports.reportFailed()
				c.quarantineReports.reportFailed()
			}
			c.handleReply(now, leader, reply)
		})
	}()
}

// reportRequest returns a report with the given loads.
func (c *Controller) reportRequest(now time.Time, loads forwarder.Loads) *herald.ReportRequest {
	leader, _ := c.elector.Leader()
	request := &herald.ReportRequest{
		Member: c.encodeSelf(), MapTerm: c.owners.Version().Term, MapSequence: c.owners.Version().Sequence,
		MembersTerm: c.membersVersion.term, MembersVersion: c.membersVersion.number, StoreEra: c.elector.Era(),
		Leaving: c.leavingServers.beginReport(leader.Term), LeavingTerm: c.leavingServers.version.term, LeavingKnown: c.leavingServers.version.known,
		LastLed: c.elector.LastLed(), ConfigVersion: c.table.Version(),
		Limits:     c.encodeLimits(c.limitReports.beginReport(leader.Term, c.options.Forwarder.LimitedServers())),
		LimitsTerm: c.limitReports.version.term, LimitsVersion: c.limitReports.version.number,
		CrashRecords: c.encodeCrashRecords(
			c.quarantineReports.beginReport(leader.Term, c.options.Forwarder.QuarantinedRequests())),
		CrashesTerm: c.quarantineReports.version.term, CrashesVersion: c.quarantineReports.version.number,
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
			Server: server, Answers: uint32(a.Count), WorkMs: uint32(a.TotalServiceTime.Milliseconds()),
			PausedMs: uint32(max(0, a.PausedFor).Milliseconds()),
		})
	}
	return request
}

// self returns this instance as a member.
func (c *Controller) self() resolver.Member {
	self := c.options.Self
	self.Leaving, self.Lost = c.leaving, c.lost
	return self
}

// encodeSelf returns the message form of self.
func (c *Controller) encodeSelf() *herald.Member { return encodeMember(c.self()) }

// encodeMember returns the message form of a member.
func encodeMember(m resolver.Member) *herald.Member {
	return &herald.Member{
		Instance: m.Instance, Incarnation: m.Incarnation, Address: m.Address, Domain: m.Domain, Leaving: m.Leaving,
		Capacity: uint32(m.Capacity), LostServices: encodeLostServices(m.Lost),
	}
}

// decodeMember is the inverse of encodeMember.
func decodeMember(m *herald.Member) resolver.Member {
	return resolver.Member{
		Instance: m.GetInstance(), Incarnation: m.GetIncarnation(), Address: m.GetAddress(), Domain: m.GetDomain(),
		Leaving: m.GetLeaving(), Capacity: int(m.GetCapacity()), Lost: decodeLostServices(m.GetLostServices()),
	}
}

// handleReply applies the answer of leader to a report.
func (c *Controller) handleReply(now time.Time, leader elector.Leader, reply *herald.ReportReply) {
	c.observeCutOffLeader(leader, reply.GetUnreachedServers())
	c.elector.ReportAnswered(now, leader, reply.GetLeading(),
		reply.GetStoreLost() || reply.GetYields() || c.reachesMoreThanLeader())
	c.elector.ObserveEra(now, reply.GetStoreEra())
	c.observeLeader(now, reply.GetLead())
	offsets := decodeLeaderOffsets(now, c.reportInterval()+leaderOffsetsMargin, reply)
	c.leaderOffsets.Store(offsets)
	if reply.GetLeading() {
		c.lastContact = now
		if c.sources.Load() == nil || len(c.sources.Load().relays) == 0 {
			c.checkLeaderOffsets(offsets)
		}
		c.applyOwners(reply.GetOwners())
		c.applyMembers(reply.GetMembers())
		c.applyLeaving(now, reply.GetLeaving())
		c.applyLimits(reply.GetLimits())
		c.applyCrashRecords(reply.GetCrashRecords())
		if len(reply.GetConfig()) > 0 {
			c.applyConfig(reply.GetConfig(), "leader", leader.Identity.Instance)
		}
	}
}

// observeLeader passes the leader that is known to another instance to the elector.
func (c *Controller) observeLeader(now time.Time, leader *herald.Lead) {
	if leader.GetTerm() != 0 {
		c.elector.ObserveLeader(now, decodeLeader(leader))
	}
}

// applyOwners replaces the owner map by a newer full one, or applies a change of it. A change that does not fit the
// current map is ignored.
func (c *Controller) applyOwners(o *herald.Owners) {
	if o == nil || c.leaderState != nil {
		return
	}
	version := partitioner.Version{Term: o.GetTerm(), Sequence: o.GetSequence()}
	current := c.owners.Version()
	if !current.Less(version) {
		return
	}
	segments := herald.DecodeSegments(o.GetServices(), o.GetSegments())
	partitioner.SetPausedUntil(time.Now(), segments) // the forwarder compares these with time.Now, not with timekeeper
	if o.GetWhole() {
		c.owners = (*partitioner.Map)(nil).With(version, segments)
		c.ownersOutdated = true
		return
	}
	if current.Term != version.Term || current.Sequence < o.GetBase() {
		return // the answer to the next report contains what is missing
	}
	c.owners = c.owners.With(version, segments)
	c.ownersOutdated = true
}

// applyMembers replaces the list of members by the leader's.
func (c *Controller) applyMembers(list *herald.Members) {
	if list == nil || c.leaderState != nil {
		return
	}
	version := membersVersion{term: list.GetTerm(), number: list.GetVersion()}
	if version.term < c.membersVersion.term || version.term == c.membersVersion.term && version.number < c.membersVersion.number {
		return // from a leader that was replaced, or overtaken by a newer list
	}
	c.membersVersion = version
	before, intervalBefore := c.members, c.reportInterval()
	c.members = nil
	for _, m := range list.GetMembers() {
		if m.GetInstance() != c.options.Self.Instance {
			c.members = append(c.members, decodeMember(m))
		}
	}
	// With more members the next report, and the leader's answer, come later.
	c.leaderOffsets.Store(c.leaderOffsets.Load().extended(c.reportInterval() - intervalBefore))
	c.checkServicesLostBy(c.members, before)
	c.viewOutdated = true
}

// Report implements herald.Herald.
func (c *Controller) Report(ctx context.Context, request *herald.ReportRequest) (*herald.ReportReply, error) {
	return runInLoop(ctx, c, func(now time.Time) *herald.ReportReply { return c.handleReport(now, request) })
}

// Publish implements herald.Herald.
func (c *Controller) Publish(ctx context.Context, request *herald.PublishRequest) (*herald.PublishReply, error) {
	return runInLoop(ctx, c, func(now time.Time) *herald.PublishReply {
		c.receiveSpreadRecords(now, request.GetSpreadRecords())
		c.observeLeader(now, request.GetLead())
		c.updateLeadership(now)
		if leader, ok := c.elector.Leader(); ok && leader.Term == request.GetLead().GetTerm() {
			c.elector.ObserveContact(leader)
			c.lastContact = now
			c.applyOwners(request.GetOwners())
			c.applyMembers(request.GetMembers())
			c.applyLeaving(now, request.GetLeaving())
			c.applyLimits(request.GetLimits())
			c.applyCrashRecords(request.GetCrashRecords())
		}
		return &herald.PublishReply{
			Member: c.encodeSelf(), Leading: c.leaderState != nil, Leases: c.leasesOf(now, request.GetLeasesOfTerm()),
		}
	})
}

// knownLeader returns the newest leader that is known to this instance, or nil.
func (c *Controller) knownLeader() *herald.Lead {
	leader, ok := c.elector.Leader()
	if !ok {
		return nil
	}
	return encodeLeader(leader, "")
}

// encodeLeader returns the message form of a leader in a failure domain; empty means that the domain is unknown.
func encodeLeader(leader elector.Leader, domain string) *herald.Lead {
	return &herald.Lead{Term: leader.Term, Settled: leader.Settled, Sole: leader.Sole, Member: &herald.Member{
		Instance: leader.Identity.Instance, Incarnation: leader.Identity.Incarnation, Address: leader.Identity.Address,
		Domain: domain,
	}}
}

// decodeLeader is the inverse of encodeLeader, without the domain.
func decodeLeader(leader *herald.Lead) elector.Leader {
	return elector.Leader{Term: leader.GetTerm(), Settled: leader.GetSettled(), Sole: leader.GetSole(), Identity: elector.Identity{
		Instance: leader.GetMember().GetInstance(), Incarnation: leader.GetMember().GetIncarnation(),
		Address: leader.GetMember().GetAddress(),
	}}
}

// runInLoop runs answer in the control loop and returns its result. If ctx ends first, the error is a twirp.Error, and
// answer may still run.
func runInLoop[T any](ctx context.Context, c *Controller, answer func(now time.Time) T) (T, error) {
	done := make(chan T, 1)
	select {
	case c.events <- func(now time.Time) { done <- answer(now) }:
	case <-ctx.Done():
		var zero T
		return zero, twirp.NewError(twirp.DeadlineExceeded, "instance is busy")
	}
	select {
	case reply := <-done:
		return reply, nil
	case <-ctx.Done():
		var zero T
		return zero, twirp.NewError(twirp.DeadlineExceeded, "instance is busy")
	}
}

// handleReport answers the report of an instance and, on the leader, records what it contains.
func (c *Controller) handleReport(now time.Time, request *herald.ReportRequest) *herald.ReportReply {
	c.elector.ObserveEra(now, request.GetStoreEra())
	reply := &herald.ReportReply{
		Leading: c.leaderState != nil, Lead: c.knownLeader(), StoreLost: c.elector.StoreUnreachable(now),
		StoreSlow: c.elector.PendingCallTime(now) > slowCallTime, StoreEra: c.elector.Era(), Read: map[string]int64{},
	}
	for topic, next := range c.cache.nextPositions() {
		if next.Era == reply.StoreEra {
			reply.Read[topic] = next.Offset
		}
	}
	if c.leaderState == nil {
		return reply
	}
	member := decodeMember(request.GetMember())
	if request.GetStoreEra() >= c.elector.Era() {
		c.leaderState.observeReport(now, c.grantSettings, member.Instance, member.Incarnation, request.GetLastLed())
	}
	c.leaderState.observeMember(member.Instance, member.Incarnation)
	c.recordReport(now, member)
	c.addLoads(now, decodeLoads(request))
	for _, s := range request.GetLeaving() {
		c.serverLeaves(now, s.GetServer(), s.GetIncarnation())
	}
	for _, server := range c.learnLimits(request.GetLimits()) {
		c.leaderState.limits.record(server)
	}
	c.observeCrashReports(request.GetCrashRecords())
	ownerMapVersion := partitioner.Version{Term: request.GetMapTerm(), Sequence: request.GetMapSequence()}
	members := membersVersion{term: request.GetMembersTerm(), number: request.GetMembersVersion()}
	leaving := leavingVersion{term: request.GetLeavingTerm(), known: request.GetLeavingKnown()}
	limits := changeVersion{term: request.GetLimitsTerm(), number: request.GetLimitsVersion()}
	crashes := changeVersion{term: request.GetCrashesTerm(), number: request.GetCrashesVersion()}
	if m := c.leaderState.members[request.GetMember().GetInstance()]; m != nil && !m.publishing {
		m.ownerMapVersion, m.membersVersion, m.leavingVersion = ownerMapVersion, members, leaving
		m.limitsVersion, m.crashesVersion = limits, crashes
	}
	if c.shouldYieldTo(now, request.GetMember().GetInstance()) {
		reply.Yields = true
		c.elector.RecordYield()
	}
	reply.UnreachedServers = c.unreachedServersFor(member)
	reply.Owners, reply.Members = c.changesFor(now, ownerMapVersion, members)
	reply.Leaving, reply.Limits, reply.CrashRecords = c.leavingFor(leaving), c.limitsFor(limits), c.crashRecordsFor(crashes)
	if c.configEra < c.elector.Era() && request.GetConfigVersion() < c.table.Version() {
		reply.Config = c.config
	}
	return reply
}

// shouldYieldTo reports whether an instance should lead instead of this one: it has far more capacity, and no member has
// more. A leader whose grants fail does not yield: the next one may wait longer for the leases of the servers concerned.
func (c *Controller) shouldYieldTo(now time.Time, instance string) bool {
	l := c.leaderState
	if now.Sub(l.since) < minLeadershipDuration {
		return false
	}
	candidate := l.members[instance].member
	for _, m := range l.members {
		if m.member.Capacity > candidate.Capacity {
			return false
		}
	}
	return !candidate.Leaving && candidate.Capacity >= yieldCapacityRatio*c.options.Self.Capacity && !l.granter.KeysWait(now)
}

// recordReport records that a member has reported, and adds or updates the member.
func (c *Controller) recordReport(now time.Time, member resolver.Member) {
	l := c.leaderState
	known := l.members[member.Instance]
	if known != nil && known.member == member {
		known.lastReport = now
		return
	}
	klog.InfoS("instance joined or changed", "instance", member.Instance, "address", member.Address, "domain", member.Domain,
		"leaving", member.Leaving, "lost_services", member.Lost.Names())
	l.members[member.Instance] = &memberState{member: member, lastReport: now}
	c.updateMembers(now)
}

// decodeLoads returns the loads in a report. Invalid keys, and keys without a number of requests, are skipped.
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
			Count: int(s.GetAnswers()), TotalServiceTime: time.Duration(s.GetWorkMs()) * time.Millisecond,
			PausedFor: time.Duration(s.GetPausedMs()) * time.Millisecond,
		}
	}
	return loads
}
