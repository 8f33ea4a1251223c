package assigner

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

func drawCandidates(t *rapid.T) []Candidate {
	n := rapid.IntRange(2, 12).Draw(t, "servers")
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{
			Name:   identifier.ServerName(fmt.Sprintf("desk-%02d", i)),
			Domain: identifier.DomainName(fmt.Sprintf("domain-%d", i%4)),
			Slots:  rapid.IntRange(1, 4).Draw(t, "slots"),
			Usable: i < 2 || rapid.Bool().Draw(t, "usable"),
		}
	}
	return out
}

func drawOwners(t *rapid.T, servers []Candidate, n int) []identifier.ServerName {
	out := make([]identifier.ServerName, n)
	for p := range out {
		if i := rapid.IntRange(-1, len(servers)-1).Draw(t, "owner"); i >= 0 {
			out[p] = servers[i].Name
		}
	}
	return out
}

func drawLoads(t *rapid.T, n int) []float64 {
	return rapid.SliceOfN(rapid.Float64Range(0, 10), 0, n).Draw(t, "loads")
}

func usable(servers []Candidate) map[identifier.ServerName]bool {
	out := map[identifier.ServerName]bool{}
	for _, c := range servers {
		out[c.Name] = c.Usable
	}
	return out
}

func TestPlaceMovesOrphansAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := drawCandidates(t)
		owners := drawOwners(t, servers, rapid.IntRange(1, 64).Draw(t, "partitions"))
		in := PlaceInput{Service: "desk", Servers: servers, Owners: owners, Loads: drawLoads(t, len(owners))}
		got := Place(in)
		ok := usable(servers)
		for p := range owners {
			if ok[owners[p]] && got[p] != owners[p] {
				t.Fatalf("partition %d moved off usable %s", p, owners[p])
			}
			if !ok[got[p]] {
				t.Fatalf("partition %d is on %q, which is not usable", p, got[p])
			}
		}
		for i, j := 0, len(servers)-1; i < j; i, j = i+1, j-1 {
			servers[i], servers[j] = servers[j], servers[i]
		}
		if again := Place(in); fmt.Sprint(again) != fmt.Sprint(got) {
			t.Fatalf("order of the servers changes the placement")
		}
	})
}

func TestPlaceKeepsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := drawCandidates(t)
		owners := make([]identifier.ServerName, rapid.IntRange(64, 256).Draw(t, "partitions"))
		loads := make([]float64, len(owners))
		known := rapid.Bool().Draw(t, "known")
		top := 1.0
		for p := range loads {
			if known {
				loads[p] = rapid.Float64Range(0, 10).Draw(t, "load")
			}
			top = max(top, loads[p]+1)
		}
		got := Place(PlaceInput{Service: "desk", Servers: servers, Owners: owners, Loads: loads})
		b := newBoard("desk", servers)
		w := weights(loads, len(owners), newBoard("desk", servers).slots)
		for p, owner := range got {
			i, _ := b.at(owner)
			b.add(i, w[p])
		}
		// One partition at most is over the bound, and only when nothing had room for it.
		if limit := DefaultBound*b.mean() + top; b.highest() > limit {
			t.Fatalf("load per slot %v is over %v", b.highest(), limit)
		}
	})
}

// TestPlaceNearIdle loses a server while hardly any request is under way: its partitions must still be spread.
func TestPlaceNearIdle(t *testing.T) {
	is := is.New(t)
	servers := []Candidate{{Name: "a", Slots: 3, Usable: true}, {Name: "b", Slots: 3, Usable: true}, {Name: "c", Slots: 3}}
	owners := make([]identifier.ServerName, 96)
	for i := range owners {
		owners[i] = servers[i%3].Name
	}
	loads := make([]float64, len(owners))
	loads[0] = 0.05
	count := map[identifier.ServerName]int{}
	for _, owner := range Place(PlaceInput{Service: "desk", Servers: servers, Owners: owners, Loads: loads}) {
		count[owner]++
	}
	is.Equal(count["a"]+count["b"], 96)
	is.True(max(count["a"], count["b"]) <= 56) // near 48 each; all 32 went to one before the floor
}

func TestPlaceWithoutUsableServers(t *testing.T) {
	is := is.New(t)
	servers := []Candidate{{Name: "a"}, {Name: "b"}}
	owners := []identifier.ServerName{"a", "", "b"}
	is.Equal(Place(PlaceInput{Servers: servers, Owners: owners}), owners)
}

func TestRebalanceNeverRaisesThePeak(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := drawCandidates(t)
		owners := drawOwners(t, servers, rapid.IntRange(1, 64).Draw(t, "partitions"))
		in := RebalanceInput{Service: "desk", Servers: servers, Owners: owners, Loads: drawLoads(t, len(owners))}
		in.Budget = rapid.IntRange(1, 10).Draw(t, "budget")
		moves := Rebalance(in)
		if len(moves) > in.Budget {
			t.Fatalf("%d moves of %d", len(moves), in.Budget)
		}
		w := weights(in.Loads, len(owners), 0)
		peak := Imbalance(servers, owners, w)
		if len(moves) > 0 && peak <= DefaultHigh {
			t.Fatalf("moves at imbalance %v", peak)
		}
		now := append([]identifier.ServerName(nil), owners...)
		ok := usable(servers)
		for _, m := range moves {
			if now[m.Partition] != m.From || !ok[m.To] || m.From == m.To {
				t.Fatalf("impossible move %+v", m)
			}
			now[m.Partition] = m.To
			next := Imbalance(servers, now, w)
			if next > peak+1e-9 {
				t.Fatalf("%+v raises the imbalance from %v to %v", m, peak, next)
			}
			peak = next
		}
		if fmt.Sprint(Rebalance(in)) != fmt.Sprint(moves) {
			t.Fatalf("not deterministic")
		}
	})
}

func TestRebalance(t *testing.T) {
	servers := []Candidate{{Name: "a", Slots: 3, Usable: true}, {Name: "b", Slots: 3, Usable: true}, {Name: "c", Slots: 3, Usable: true}}
	tests := map[string]struct {
		owners   []identifier.ServerName
		loads    []float64
		settling []bool
		running  bool
		want     []Move
	}{
		"even load stays": {
			owners: []identifier.ServerName{"a", "b", "c"}, loads: []float64{1, 1, 1.1},
		},
		"between the bounds waits": {
			owners: []identifier.ServerName{"a", "a", "b", "c"}, loads: []float64{0.9, 0.3, 1, 0.8},
		},
		"between the bounds goes on": {
			owners: []identifier.ServerName{"a", "a", "b", "c"}, loads: []float64{0.9, 0.3, 1, 0.8}, running: true,
			want: []Move{{Partition: 1, From: "a", To: "c"}},
		},
		"a partition that fills its server stays": {
			owners: []identifier.ServerName{"a", "b", "c"}, loads: []float64{3, 1, 1},
		},
		"its neighbour leaves": {
			owners: []identifier.ServerName{"a", "a", "b", "c"}, loads: []float64{3, 0.5, 1, 1.4},
			want: []Move{{Partition: 1, From: "a", To: "b"}},
		},
		"settling partitions stay": {
			owners: []identifier.ServerName{"a", "a", "b", "c"}, loads: []float64{3, 0.5, 1, 1.4}, settling: []bool{true, true},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			in := RebalanceInput{Servers: servers, Owners: tt.owners, Loads: tt.loads, Settling: tt.settling, Running: tt.running}
			is.Equal(Rebalance(in), tt.want)
		})
	}
}

func TestFrontsAreEvenAndStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := FrontsInput{}
		for i := range rapid.IntRange(1, 12).Draw(t, "instances") {
			in.Instances = append(in.Instances, FrontInstance{
				ID:     identifier.InstanceID(fmt.Sprintf("entry-%02d", i)),
				Domain: identifier.DomainName(fmt.Sprintf("domain-%d", i%4)),
				Usable: i == 0 || rapid.Bool().Draw(t, "usable"),
			})
		}
		for i := range rapid.IntRange(0, 40).Draw(t, "servers") {
			in.Servers = append(in.Servers, FrontServer{
				Name:   identifier.ServerName(fmt.Sprintf("desk-%02d", i)),
				Domain: identifier.DomainName(fmt.Sprintf("domain-%d", i%4)),
			})
		}
		counts := map[identifier.InstanceID]int{}
		for i, target := range Fronts(in) {
			counts[target.Instance]++
			in.Servers[i].Current = target.Instance
		}
		least, most := math.MaxInt, 0
		for _, inst := range in.Instances {
			if inst.Usable {
				least, most = min(least, counts[inst.ID]), max(most, counts[inst.ID])
			} else if counts[inst.ID] > 0 {
				t.Fatalf("%s fronts servers", inst.ID)
			}
		}
		if most > least+1 {
			t.Fatalf("from %d to %d servers", least, most)
		}
		for i, target := range Fronts(in) {
			if target.Instance != in.Servers[i].Current {
				t.Fatalf("%s changes hands without cause", target.Server)
			}
		}
	})
}

func TestFrontsMoveTheLostOnesAlone(t *testing.T) {
	is := is.New(t)
	in := FrontsInput{}
	for i := range 10 {
		in.Instances = append(in.Instances, FrontInstance{ID: identifier.InstanceID(fmt.Sprintf("entry-%02d", i)), Usable: true})
	}
	for i := range 30 {
		in.Servers = append(in.Servers, FrontServer{Name: identifier.ServerName(fmt.Sprintf("desk-%02d", i))})
	}
	for i, target := range Fronts(in) {
		in.Servers[i].Current = target.Instance
	}
	in.Instances[3].Usable = false
	moved := 0
	for i, target := range Fronts(in) {
		if target.Instance != in.Servers[i].Current {
			is.Equal(in.Servers[i].Current, in.Instances[3].ID)
			moved++
		}
	}
	is.Equal(moved, 3)
}
