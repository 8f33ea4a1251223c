package queuer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// heavyLoad returns the load of bills and tariff reads of deployment A's heaviest day, at a load of the servers. Its tariff reads
// arrive three at a time, as those pipelined on a connection do.
func heavyLoad(servers int, load float64, change func(bill, tariff *simClass)) simLoad {
	speeds := []float64{1, 0.6, 1.5, 0.8, 1.3, 1, 0.7, 1.2}[:servers]
	capacity := 0.0
	for _, speed := range speeds {
		capacity += 6 / speed
	}
	// 299 bills of 180 ms and 276 tariff reads of 1 s a second need 329.8 slots.
	factor := load * capacity / (299*0.18 + 276)
	bill := simClass{
		name: "bill", service: 180 * time.Millisecond, objective: 500 * time.Millisecond,
		limit: 2500 * time.Millisecond, rate: 299 * factor, notIdempotent: true,
	}
	tariff := simClass{
		name: "tariff", priority: 2, service: time.Second, objective: 6 * time.Second, limit: 12 * time.Second,
		rate: 276 * factor, batch: 3,
	}
	if change != nil {
		change(&bill, &tariff)
	}
	duration := time.Minute
	if servers > 1 { // enough requests for shares that are alike with other seeds
		duration = 30 * time.Second
	}
	return simLoad{speeds: speeds, slots: 6, classes: []simClass{bill, tariff}, duration: duration}
}

// simulateSeeds plays the load with several seeds and returns the sum of the results.
func simulateSeeds(load simLoad, settings Settings) map[string]*simResult {
	sum := map[string]*simResult{}
	for seed := range uint64(3) {
		for class, r := range simulate(load, settings, seed) {
			if sum[class] == nil {
				sum[class] = &simResult{}
			}
			sum[class].add(r)
		}
	}
	return sum
}

// TestReservationKeepsShortUrgentRequestsInTime guards against bills that are late or refused because tariff reads, which take
// longer and may wait longer, fill the servers, and against tariff reads that starve. The bounds leave room for a change of the
// random numbers; the results as measured are in docs/design/slot_reservation.md.
func TestReservationKeepsShortUrgentRequestsInTime(t *testing.T) {
	billBurst := func(b, _ *simClass) { b.burst = 2.1 }
	tariffBurst := func(_, t *simClass) { t.burst = 1.5 }
	hotKey := func(b, _ *simClass) { b.rate *= 5 } // at a load of 1.2 and 1.5, the bills alone need all slots
	tests := map[string]struct {
		servers int
		load    float64
		change  func(bill, tariff *simClass)
		bills   float64 // least share of the bills that are answered in time
		tariffs float64 // least share of the tariff reads that are answered
	}{
		"keyed server, load 0.6":               {servers: 1, load: 0.6, bills: 0.95, tariffs: 0.98},
		"keyed server, load 0.6, bills burst":  {servers: 1, load: 0.6, change: billBurst, bills: 0.95, tariffs: 0.95},
		"keyed server, load 0.9":               {servers: 1, load: 0.9, bills: 0.93, tariffs: 0.88},
		"keyed server, load 0.9, tariff burst": {servers: 1, load: 0.9, change: tariffBurst, bills: 0.93, tariffs: 0.75},
		"keyed server, load 1.2, bills burst":  {servers: 1, load: 1.2, change: billBurst, bills: 0.93, tariffs: 0.55},
		"keyed server, load 1.5":               {servers: 1, load: 1.5, bills: 0.93, tariffs: 0.45},
		"keyed server, load 0.6, hot key":      {servers: 1, load: 0.6, change: hotKey, bills: 0.93, tariffs: 0.65},
		"keyed server, load 1.5, hot key":      {servers: 1, load: 1.5, change: hotKey, bills: 0.48, tariffs: 0.06},
		"eight servers, load 0.6":              {servers: 8, load: 0.6, bills: 0.97, tariffs: 0.98},
		"eight servers, load 0.9, bills burst": {servers: 8, load: 0.9, change: billBurst, bills: 0.96, tariffs: 0.95},
		"eight servers, load 1.2":              {servers: 8, load: 1.2, bills: 0.96, tariffs: 0.7},
		"eight servers, load 1.5":              {servers: 8, load: 1.5, bills: 0.96, tariffs: 0.5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			load := heavyLoad(test.servers, test.load, test.change)
			without, with := simulateSeeds(load, Settings{}), simulateSeeds(load, Settings{Reservation: true})
			for _, class := range []string{"bill", "tariff"} {
				t.Log(class, "without:", without[class], "with:", with[class])
			}
			bill, tariff := with["bill"], with["tariff"]
			is.True(bill.share(bill.inTime) >= test.bills)
			is.True(tariff.share(tariff.inTime+tariff.late) >= test.tariffs)
			before := without["bill"]
			is.True(bill.share(bill.inTime) > before.share(before.inTime)-0.03)
			is.True(bill.mean() < 500*time.Millisecond)
			is.True(bill.share(bill.unknown) <= before.share(before.unknown)+0.002)
		})
	}
}

// TestRepeatedRequestsDoNotDisplaceOthers guards against clients that repeat refused requests at once, again and again, and so
// make the queue refuse those of other classes: by a load that counts each repeat, or by slots reserved for it.
func TestRepeatedRequestsDoNotDisplaceOthers(t *testing.T) {
	tests := map[string]struct {
		impatient func(bill, tariff *simClass)
		other     string
	}{
		"repeated bills":        {impatient: func(b, _ *simClass) { b.impatient = true }, other: "tariff"},
		"repeated tariff reads": {impatient: func(_, t *simClass) { t.impatient = true }, other: "bill"},
		"repeated bills with too little time": {
			impatient: func(b, _ *simClass) { b.impatient, b.limit = true, 150*time.Millisecond }, other: "tariff",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			patient := heavyLoad(1, 0.6, func(b, _ *simClass) { b.rate *= 5 })
			impatient := heavyLoad(1, 0.6, func(b, t *simClass) { b.rate *= 5; test.impatient(b, t) })
			patient.duration, impatient.duration = 20*time.Second, 20*time.Second
			settings := Settings{Reservation: true}
			without, with := simulateSeeds(patient, settings)[test.other], simulateSeeds(impatient, settings)[test.other]
			t.Log("patient:", without, "impatient:", with)
			is.True(with.share(with.inTime) >= without.share(without.inTime)-0.05)
		})
	}
}

// TestRetryAfterByClassAndLoad guards against clients that come back while their class has no chance to be started yet.
func TestRetryAfterByClassAndLoad(t *testing.T) {
	is := is.New(t)
	// retryAfter returns the Retry-After of a refused request of each priority behind a number of waiting ones of priority 2.
	retryAfter := func(waiting int) (urgent, low time.Duration) {
		q := New(&ServiceTimes{}, Settings{Reservation: true})
		q.SetServers(start, []Server{{ID: "a", Slots: 2}})
		class := func(name string, priority, objective int) Request {
			return Request{Class: name, Priority: priority, Objective: at(objective), Deadline: at(60_000)}
		}
		for range 2 {
			_, started := q.Offer(start, class("low", 2, 60_000)).(Start)
			is.True(started)
		}
		for range waiting {
			_, waits := q.Offer(start, class("low", 2, 60_000)).(Wait)
			is.True(waits)
		}
		return q.retryAfter(start, 0), q.retryAfter(start, 2)
	}
	urgent, low := retryAfter(10)
	is.Equal(urgent, 100*time.Millisecond) // when the first slot becomes free: no other request is before it
	is.Equal(low, 600*time.Millisecond)    // two slots, five times each, 100 ms
	_, lowOverloaded := retryAfter(40)     // 4.2 s of work in a window of 2 s and 2 slots: a load of 1.05 and more
	is.True(lowOverloaded > 2100*time.Millisecond)
	_, lowest := retryAfter(200)
	is.Equal(lowest, maxLimitRetryAfter)
}

// TestSlotIsHeldForHigherPriority guards against a slot that is given away shortly before an urgent request needs it, against one
// that stays free without such requests, and against an urgent request that waits behind those for which it is kept free.
func TestSlotIsHeldForHigherPriority(t *testing.T) {
	urgent := func(ms int) Request {
		return Request{Class: "urgent", Objective: at(ms + 200), Deadline: at(ms + 2000)}
	}
	long := func(ms int) Request {
		return Request{Class: "long", Priority: 2, Objective: at(ms + 9000), Deadline: at(ms + 9000)}
	}
	tests := map[string]struct {
		settings   Settings
		urgentTo   int // requests of the urgent class arrive every 100 ms until then
		thirdHeld  bool
		urgentFree bool // whether an urgent request is started at once after three long ones
	}{
		"without reservation":        {urgentTo: 3000},
		"urgent requests arrive":     {settings: Settings{Reservation: true}, urgentTo: 3000, thirdHeld: true, urgentFree: true},
		"none":                       {settings: Settings{Reservation: true}},
		"none since long ago (25 s)": {settings: Settings{Reservation: true}, urgentTo: -22_000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := New(&ServiceTimes{}, test.settings)
			q.SetServers(at(-25_000), []Server{{ID: "a", Slots: 3}})
			_, started := q.Offer(at(-25_000), long(-25_000)).(Start)
			is.True(started)
			q.Done(at(-24_000), "a", "long", Answered, time.Second)
			for ms := -24_000; ms < test.urgentTo; ms += 100 {
				_, started := q.Offer(at(ms), urgent(ms)).(Start)
				is.True(started)
				q.Done(at(ms+90), "a", "urgent", Answered, 90*time.Millisecond)
			}
			for range 2 {
				q.Offer(at(3000), long(3000))
			}
			third, waits := q.Offer(at(3000), long(3000)).(Wait)
			is.Equal(waits && third.Held, test.thirdHeld)
			_, started = q.Offer(at(3000), urgent(3000)).(Start)
			is.Equal(started, test.urgentFree)
			is.True(q.Running() >= 2) // at least one slot is open to the long ones
		})
	}
}
