package tracer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

func TestRows(t *testing.T) {
	record := func(instance identifier.InstanceID, after time.Duration) *Ring {
		ring := NewRing(instance, 4)
		ring.Add(at(after-time.Second), 7, KindPeerSilent, "c", "")
		ring.Add(at(after), 7, KindInstanceExpelled, "c", "by a")
		return ring
	}
	pages := []Page{record("a", time.Second).Page(), record("b", 3*time.Second).Page()}
	tests := map[string]struct {
		order  Order
		kinds  []Kind
		copies []int
		spread time.Duration
		who    string
	}{
		"by offset": {OrderOffset, []Kind{KindPeerSilent, KindPeerSilent, KindInstanceExpelled}, []int{1, 1, 2}, 2 * time.Second, "2 of 2 within 2s"},
		"by clock":  {OrderClock, []Kind{KindPeerSilent, KindInstanceExpelled, KindPeerSilent, KindInstanceExpelled}, []int{1, 1, 1, 1}, 0, "b"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rows := Merge(tc.order, pages...).Rows()
			is.Equal(len(rows), len(tc.kinds))
			for i, row := range rows {
				is.Equal(row.Kind, tc.kinds[i])
				is.Equal(len(row.Copies), tc.copies[i])
			}
			last := rows[len(rows)-1]
			is.Equal(last.Spread(), tc.spread)
			is.Equal(last.who(2), tc.who)
		})
	}
}
