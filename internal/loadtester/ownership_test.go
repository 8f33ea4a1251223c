package loadtester

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/emulator"
)

func TestCountSecondOwners(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	effect := func(server string, fence uint64, start, end int) emulator.Execution {
		return emulator.Execution{Server: server, Service: "d", Key: 7, Fence: fence, Start: at(start), End: at(end)}
	}
	unkeyed := func(e emulator.Execution) emulator.Execution {
		e.Key = emulator.NoKey
		return e
	}
	reborn := func(e emulator.Execution) emulator.Execution {
		e.Incarnation = 1
		return e
	}
	elsewhere := func(e emulator.Execution) emulator.Execution {
		e.Key = 8
		return e
	}
	killed := effect("a", 1, 5, 0)
	killed.End = time.Time{}
	tests := map[string]struct {
		effects []emulator.Execution
		want    int
	}{
		"one owner":            {effects: []emulator.Execution{effect("a", 1, 0, 5), effect("a", 1, 2, 6)}},
		"moved":                {effects: []emulator.Execution{effect("a", 1, 0, 5), effect("b", 2, 5, 9)}},
		"moved back":           {effects: []emulator.Execution{effect("a", 1, 0, 5), effect("b", 2, 5, 9), effect("a", 3, 9, 12)}},
		"overlapping":          {effects: []emulator.Execution{effect("a", 1, 0, 5), effect("b", 2, 4, 9)}, want: 1},
		"lower fence after":    {effects: []emulator.Execution{effect("b", 2, 0, 3), effect("a", 1, 4, 6)}, want: 1},
		"same fence":           {effects: []emulator.Execution{effect("a", 2, 0, 3), effect("b", 2, 4, 6)}, want: 1},
		"new life, same fence": {effects: []emulator.Execution{effect("a", 2, 0, 3), reborn(effect("a", 2, 4, 6))}, want: 1},
		"not keyed":            {effects: []emulator.Execution{unkeyed(effect("a", 0, 0, 3)), unkeyed(effect("b", 0, 1, 6))}},
		"killed, then moved":   {effects: []emulator.Execution{killed, effect("b", 2, 9, 12)}},
		"another key":          {effects: []emulator.Execution{effect("a", 1, 0, 5), elsewhere(effect("b", 1, 4, 9))}},
		"given in wrong order": {effects: []emulator.Execution{effect("b", 2, 5, 9), effect("a", 1, 0, 5)}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(countSecondOwners(tc.effects), tc.want)
		})
	}
}
