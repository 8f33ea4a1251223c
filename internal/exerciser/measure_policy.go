package exerciser

import "time"

// TrafficPolicy is a way to bound what a backend server gets: Naive, OwnEstimate, LeasedSlots or Fronting.
type TrafficPolicy interface{ trafficPolicy() }

// Naive sends from every entry without limits to the server that the key's hash names among those whose health
// endpoint is well; it repeats what failed, whatever the class, up to Tries times, and calls the rest not run.
type Naive struct {
	Tries int
	// HealthLag is how long the health endpoint takes to show a change.
	HealthLag time.Duration
}

// OwnEstimate gives each entry a queue per server with its share of the slots, at least one.
type OwnEstimate struct{}

// LeasedSlots lets entries lease single slots of a server for Lease from one holder.
type LeasedSlots struct {
	Lease time.Duration
}

// Fronting is the present design: one entry has the queue of a server, the others pass requests on to it.
type Fronting struct {
	Ranking Ranking
}

// Ranking is how the classes of a service stand to each other in a queue.
type Ranking int

// The rankings of classes.
const (
	RankByPriority Ranking = iota // as the bundle says, the class that someone waits for first
	RankByDeadline                // all classes alike, the earliest deadline first
	RankOnceFirst                 // classes that may run only once first
)

// priority returns the priority of a class under the ranking.
func (r Ranking) priority(c Class) int {
	switch r {
	case RankByDeadline:
		return 0
	case RankOnceFirst:
		if c.Repeats {
			return 1
		}
		return 0
	}
	return c.Priority
}

func (Naive) trafficPolicy()       {}
func (OwnEstimate) trafficPolicy() {}
func (LeasedSlots) trafficPolicy() {}
func (Fronting) trafficPolicy()    {}

// TrafficPolicies returns the policies of the comparison.
func TrafficPolicies() []TrafficPolicy {
	return []TrafficPolicy{
		Naive{Tries: 3, HealthLag: 3 * time.Second},
		OwnEstimate{},
		LeasedSlots{Lease: time.Second},
		Fronting{},
		Fronting{Ranking: RankByDeadline},
		Fronting{Ranking: RankOnceFirst},
	}
}

func trafficPolicyName(p TrafficPolicy) string {
	switch p := p.(type) {
	case Naive:
		return "naive"
	case OwnEstimate:
		return "own estimate"
	case LeasedSlots:
		return "leased slots"
	case Fronting:
		return frontingName(p)
	}
	return ""
}

func frontingName(p Fronting) string {
	switch p.Ranking {
	case RankByDeadline:
		return "fronting, by deadline"
	case RankOnceFirst:
		return "fronting, once first"
	}
	return "fronting"
}

// Fault is what goes wrong in a run.
type Fault int

// The faults of the comparison.
const (
	FaultNone         Fault = iota
	FaultServerFrozen       // a server executes nothing for a while, and goes on
	FaultServerLost         // a server crashes in a row, stays away, and comes back
	FaultEntryLost          // an entry is gone for good
	FaultLogDown            // nothing can be agreed for a while, and the hot key moves meanwhile
	FaultLiar               // a server takes eight times as long, and its health and load endpoints say all is well
)

// Faults returns all faults.
func Faults() []Fault {
	return []Fault{FaultNone, FaultServerFrozen, FaultServerLost, FaultEntryLost, FaultLogDown, FaultLiar}
}

// String returns the name of the fault.
func (f Fault) String() string {
	names := [...]string{"none", "server frozen", "server lost", "entry lost", "log down", "liar"}
	return names[f]
}

// Loads returns the offered loads of the comparison, as shares of the capacity.
func Loads() []float64 {
	return []float64{0.5, 0.9, 1.2, 2}
}
