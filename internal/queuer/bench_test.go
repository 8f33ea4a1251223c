package queuer

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDoneUnderOverload measures the end of a request while 28 servers are full and 100 requests wait.
func BenchmarkDoneUnderOverload(b *testing.B) {
	for _, adaptive := range []bool{false, true} {
		b.Run(fmt.Sprintf("adaptive_%t", adaptive), func(b *testing.B) {
			q := New(&ServiceTimes{}, Settings{AdaptiveLimits: adaptive})
			var list []Server
			for i := range 28 {
				list = append(list, Server{ID: fmt.Sprintf("s%02d", i), Slots: 6})
			}
			q.SetServers(start, list)
			now := start
			offer := func() {
				q.load = 0
				q.Offer(now, Request{Class: "c", Objective: now.Add(time.Minute), Deadline: now.Add(time.Minute)})
			}
			for range 28*6 + 100 {
				offer()
			}
			for i := range b.N {
				now = now.Add(time.Millisecond)
				q.Done(now, list[i%28].ID, "c", Answered, 100*time.Millisecond)
				offer()
			}
		})
	}
}
