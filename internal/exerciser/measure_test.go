package exerciser

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTrafficKeepsThePromises(t *testing.T) {
	for _, fault := range Faults() {
		t.Run(fault.String(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := RunTraffic(Cell{Deployment: Deployments()[0], Policy: Fronting{}, Load: 0.9, Fault: fault, Seed: 1})
			is.Equal(r.Doubled, 0)
			is.Equal(r.Cut, 0)
			is.Equal(r.FalseNotRun, 0)
			is.Equal(r.Answered+r.NotRun+r.Unknown, r.Offered)
			is.True(r.Late <= mostLate)
		})
	}
}

// A promise that not even the naive policy breaks would have a blind check.
func TestNaivePolicyBreaksThePromises(t *testing.T) {
	is := is.New(t)
	r := RunTraffic(Cell{Deployment: Deployments()[0], Policy: Naive{Tries: 3, HealthLag: time.Second}, Load: 0.5, Fault: FaultServerLost, Seed: 1})
	is.True(r.Doubled > 0)
	is.True(r.Cut > 0)
	is.True(r.FalseNotRun > 0)
	is.True(r.Late > mostLate)
}

func TestTrafficIsDeterministic(t *testing.T) {
	is := is.New(t)
	c := Cell{Deployment: Deployments()[0], Policy: Fronting{}, Load: 0.5, Fault: FaultServerFrozen, Seed: 3}
	is.Equal(RunTraffic(c), RunTraffic(c))
}

func TestWronglyShedIsSeen(t *testing.T) {
	is := is.New(t)
	r := RunTraffic(Cell{Deployment: Deployments()[0], Policy: LeasedSlots{Lease: time.Second}, Load: 1.2, Seed: 1})
	is.True(r.WronglyShed > 0)
}

// try is one request to a server of its own in TestBackend.
func try(a *agenda, b *backend, cost, deadline time.Duration, replies *[]serverReply) {
	r := &request{cost: cost, deadline: a.now.Add(deadline), measured: true}
	b.accept(&attempt{request: r, checked: true, reply: func(reply serverReply) { *replies = append(*replies, reply) }})
}

func TestBackend(t *testing.T) {
	tests := map[string]struct {
		fault func(b *backend)
		want  []serverReply
	}{
		"well": {
			fault: func(*backend) {},
			want:  []serverReply{replyShed, replyServed, replyExpired},
		},
		"crash early in the answer": {
			fault: func(b *backend) { b.agenda.after(10*time.Millisecond, b.crash) },
			want:  []serverReply{replyShed, replyBroken, replyBroken},
		},
		"crash late in the answer": {
			fault: func(b *backend) { b.agenda.after(90*time.Millisecond, b.crash) },
			want:  []serverReply{replyShed, replyCut, replyBroken},
		},
		"frozen for a while": {
			fault: func(b *backend) {
				b.frozen = true
				b.agenda.after(time.Second, b.thaw)
			},
			want: []serverReply{replyShed, replyExpired, replyExpired},
		},
		"lost": {
			fault: func(b *backend) { b.lost = true },
			want:  []serverReply{replyRefused, replyRefused, replyRefused},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := &agenda{now: start}
			b := newBackend(a, 1, 2)
			var replies []serverReply
			tt.fault(b)
			for range 3 {
				try(a, b, 100*time.Millisecond, 50*time.Millisecond, &replies)
			}
			a.drain()
			is.Equal(replies, tt.want)
		})
	}
}

func TestReports(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	r := report[TrafficResult]{labels: []string{"deployment", "fault", "load", "policy"}, columns: trafficColumns()}
	for _, c := range cells()[:len(TrafficPolicies())] {
		result := TrafficResult{Offered: 10, Doubled: 1, Latencies: make([]Latency, 2)}
		r.rows = append(r.rows, row[TrafficResult]{labels: c.labels(), results: []TrafficResult{result, {Offered: 20, Latencies: make([]Latency, 2)}}})
	}
	var table bytes.Buffer
	is.NoErr(publish(r, "traffic", dir, &table))
	is.True(bytes.Contains(table.Bytes(), []byte("15"))) // the mean of both seeds
	text, err := os.ReadFile(filepath.Join(dir, "traffic.csv"))
	is.NoErr(err)
	is.Equal(bytes.Count(text, []byte("\n")), 1+len(r.rows))
	plots, err := filepath.Glob(filepath.Join(dir, "*.svg"))
	is.NoErr(err)
	is.Equal(len(plots), len(r.columns))
	is.True(!promisesHold(judgeTraffic(r)))
}
