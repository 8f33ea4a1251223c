package assigner

import (
	"sort"
	"time"
)

// DefaultPins is the greatest number of keys of a service with partitions of their own.
const DefaultPins = 32

// DefaultHold is how long a pin stays at least.
const DefaultHold = 30 * time.Second

// HeavyKey is a key that is hot at present, with its load in slots kept busy.
type HeavyKey struct {
	Key  string
	Load float64
}

// PinnedKey is a key that has had a partition of its own since Since.
type PinnedKey struct {
	Key   string
	Since time.Time
}

// IsolateInput is what Isolate decides from.
type IsolateInput struct {
	Hot    []HeavyKey
	Pinned []PinnedKey
	// Pins is the greatest number of pins, 0 for DefaultPins; Hold how long one stays at least, 0 for DefaultHold.
	Pins int
	Hold time.Duration
}

// Isolation names the keys that should get a partition of their own, and those that should return to their base.
type Isolation struct {
	Pin   []string
	Unpin []string
}

// Isolate returns the pins to make and to drop at now. A hot key is pinned where its partition lies, so that Rebalance
// can move it, or the rest of its server, alone. The heaviest keys go first when pins are short.
func Isolate(in IsolateInput, now time.Time) Isolation {
	pins, hold := in.Pins, in.Hold
	if pins <= 0 {
		pins = DefaultPins
	}
	if hold <= 0 {
		hold = DefaultHold
	}
	hot := map[string]bool{}
	for _, k := range in.Hot {
		hot[k.Key] = true
	}
	pinned := map[string]bool{}
	var out Isolation
	for _, k := range in.Pinned {
		pinned[k.Key] = true
		if !hot[k.Key] && now.Sub(k.Since) >= hold {
			out.Unpin = append(out.Unpin, k.Key)
		}
	}
	sort.Strings(out.Unpin)
	for _, k := range heaviest(in.Hot) {
		if !pinned[k.Key] && len(in.Pinned)+len(out.Pin) < pins {
			out.Pin = append(out.Pin, k.Key)
		}
	}
	return out
}

// heaviest returns keys by falling load, equal ones by name.
func heaviest(keys []HeavyKey) []HeavyKey {
	out := append([]HeavyKey(nil), keys...)
	sort.Slice(out, func(i, j int) bool {
		if out[i].Load != out[j].Load {
			return out[i].Load > out[j].Load
		}
		return out[i].Key < out[j].Key
	})
	return out
}
