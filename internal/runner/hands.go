package runner

import (
	"context"
	"time"

	"github.com/wasabibank/wasabibank/internal/commander"
	"github.com/wasabibank/wasabibank/internal/controller"
	"github.com/wasabibank/wasabibank/internal/messenger"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/reducer"
	"github.com/wasabibank/wasabibank/internal/tailer"
	"github.com/wasabibank/wasabibank/internal/translator"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

const (
	// readWait is how long a read of the log waits for a new record.
	readWait = 100 * time.Millisecond
	// logTimeout bounds one read or append.
	logTimeout = time.Second
	// readLimit is the largest number of records of one read.
	readLimit = 2048
	// appendQueue is how many appends may wait for their turn.
	appendQueue = 256
)

// hands do what the control thread asks for: they speak to the log, to peers and to backend servers.
type hands struct {
	log     *logClients
	servers *commander.Client
	peers   *messenger.Clients
	meter   *meter.Meter
	appends chan [][]byte
}

func newHands(log *logClients, servers *commander.Client, peers *messenger.Clients, m *meter.Meter) *hands {
	return &hands{log: log, servers: servers, peers: peers, meter: m, appends: make(chan [][]byte, appendQueue)}
}

// do carries out one action without blocking the control thread.
func (h *hands) do(ctx context.Context, l *loop, action controller.Action) {
	switch a := action.(type) {
	case controller.ReadLog:
		go h.readLog(ctx, l, a)
	case controller.AppendLog:
		h.queueAppend(a)
	case controller.ExchangePeer:
		go h.exchange(ctx, l, a)
	case controller.SendGrant:
		go h.sendGrant(ctx, l, a)
	case controller.SendRevoke:
		go h.sendRevoke(ctx, l, a)
	}
}

// queueAppend drops the append when too many wait: the control thread repeats what it does not read back.
func (h *hands) queueAppend(a controller.AppendLog) {
	select {
	case h.appends <- a.Records:
	default:
		h.meter.Count(meter.AppendsFailed)
	}
}

// runAppends appends in the order of the control thread, whatever waits in one go.
func (h *hands) runAppends(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case records := <-h.appends:
			h.append(ctx, h.takeWaiting(records))
		}
	}
}

func (h *hands) takeWaiting(records [][]byte) [][]byte {
	for {
		select {
		case more := <-h.appends:
			records = append(records, more...)
		default:
			return records
		}
	}
}

func (h *hands) append(ctx context.Context, records [][]byte) {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	h.meter.Count(meter.Appends)
	h.meter.Add(meter.RecordsAppended, len(records))
	start := time.Now()
	if err := h.log.append(ctx, records); err != nil {
		h.meter.Count(meter.AppendsFailed)
		return
	}
	h.meter.Observe(meter.AppendTime, time.Since(start))
}

func (h *hands) readLog(ctx context.Context, l *loop, a controller.ReadLog) {
	if !pause(ctx, a.After) {
		return
	}
	start := time.Now()
	bounded, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	h.meter.Count(meter.LogReads)
	page, err := h.log.read(bounded, a.From)
	h.meter.Observe(meter.LogReadTime, time.Since(start))
	if expired, ok := tailer.AsErrExpired(err); ok {
		l.post(ctx, controller.LogExpired{FirstRetained: expired.FirstRetained()})
		return
	}
	if err != nil {
		h.meter.Count(meter.LogReadsFailed)
		l.post(ctx, controller.LogUnavailable{})
		return
	}
	l.post(ctx, controller.LogRead{Start: start, Entries: entriesOf(page), Next: page.Next})
}

func entriesOf(page tailer.Page) []reducer.Entry {
	entries := make([]reducer.Entry, 0, len(page.Records))
	for _, record := range page.Records {
		entries = append(entries, reducer.Entry{Offset: record.Offset, Data: record.Data})
	}
	return entries
}

func (h *hands) exchange(ctx context.Context, l *loop, a controller.ExchangePeer) {
	sent := time.Now()
	bounded, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	h.meter.Count(meter.ExchangesSent)
	reply, err := h.peers.Exchange(bounded, a.Address, translator.RequestMessage(a.Request, l.ring.Read(sent)))
	if err != nil {
		h.meter.Count(meter.ExchangesFailed)
		l.post(ctx, controller.PeerSilent{Peer: a.Peer})
		return
	}
	h.meter.Observe(meter.ExchangeTime, time.Since(sent))
	h.meter.Add(meter.RecordsRelayed, len(reply.GetRecords()))
	if reply.GetPledged() {
		h.meter.Count(meter.PledgesGot)
	}
	l.ring.Observe(time.Now(), translator.Hybrid(reply.GetClock()))
	l.post(ctx, controller.PeerAnswered{Peer: a.Peer, SentAt: sent, Reply: translator.Reply(reply)})
}

func (h *hands) sendGrant(ctx context.Context, l *loop, a controller.SendGrant) {
	start := time.Now()
	bounded, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	h.meter.Count(meter.GrantsSent)
	answer, err := h.servers.Grant(bounded, a.Address, a.Grant)
	if err != nil {
		h.meter.Count(meter.GrantsFailed)
		l.post(ctx, controller.GrantFailed{Server: a.Server, Term: a.Grant.Term})
		return
	}
	h.meter.Observe(meter.GrantTime, time.Since(start))
	if !answer.Accepted {
		h.meter.Count(meter.GrantsRefused)
	}
	l.post(ctx, controller.GrantAnswered{Server: a.Server, Term: a.Grant.Term, Answer: answer})
}

func (h *hands) sendRevoke(ctx context.Context, l *loop, a controller.SendRevoke) {
	bounded, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	h.meter.Count(meter.RevokesSent)
	answer, err := h.servers.Revoke(bounded, a.Address, a.Revoke)
	if err != nil {
		h.meter.Count(meter.RevokesFailed)
		return
	}
	l.post(ctx, controller.RevokeAnswered{
		Server:     a.Server,
		Term:       a.Revoke.Term,
		Partitions: a.Revoke.Partitions,
		Accepted:   answer.Accepted,
	})
}

// pause waits for d and reports whether ctx still stands.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// logClients are the addresses of the log, tried in turn.
type logClients struct {
	clients []*tailer.Client
	next    chan int
}

func newLogClients(addresses []string, name string) *logClients {
	c := &logClients{next: make(chan int, 1)}
	for _, address := range addresses {
		c.clients = append(c.clients, tailer.NewNamedClient(address, name))
	}
	c.next <- 0
	return c
}

// present returns the client in use and its place.
func (c *logClients) present() (*tailer.Client, int) {
	place := <-c.next
	c.next <- place
	return c.clients[place], place
}

// failed goes on to the address after the one that failed.
func (c *logClients) failed(place int) {
	now := <-c.next
	if now == place {
		now = (now + 1) % len(c.clients)
	}
	c.next <- now
}

func (c *logClients) append(ctx context.Context, records [][]byte) error {
	client, place := c.present()
	_, err := client.Append(ctx, records)
	if tailer.IsErrUnavailable(err) {
		c.failed(place)
	}
	return err
}

func (c *logClients) read(ctx context.Context, from identifier.Offset) (tailer.Page, error) {
	client, place := c.present()
	page, err := client.Read(ctx, from, readLimit, readWait)
	if tailer.IsErrUnavailable(err) {
		c.failed(place)
	}
	return page, err
}
