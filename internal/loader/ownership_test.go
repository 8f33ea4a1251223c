package loader

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/faker"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

func TestCountSecondOwners(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	effect := func(server string, epoch uint64, start, end int) faker.Execution {
		e := faker.Execution{Service: "d", Key: "k", Start: at(start), End: at(end), State: faker.StateEffect}
		e.Server, e.Epoch = identifier.ServerName(server), identifier.Epoch(epoch)
		return e
	}
	other := func(e faker.Execution, key string, partition identifier.PartitionIndex) faker.Execution {
		e.Key, e.Partition = key, partition
		return e
	}
	pending := effect("a", 1, 5, 0)
	pending.End = time.Time{}
	tests := map[string]struct {
		effects []faker.Execution
		want    int
	}{
		"one owner":            {effects: []faker.Execution{effect("a", 1, 0, 5), effect("a", 1, 2, 6)}},
		"moved":                {effects: []faker.Execution{effect("a", 1, 0, 5), effect("b", 2, 5, 9)}},
		"moved back":           {effects: []faker.Execution{effect("a", 1, 0, 5), effect("b", 2, 5, 9), effect("a", 3, 9, 12)}},
		"overlapping":          {effects: []faker.Execution{effect("a", 1, 0, 5), effect("b", 2, 4, 9)}, want: 1},
		"older epoch after":    {effects: []faker.Execution{effect("b", 2, 0, 3), effect("a", 1, 4, 6)}, want: 1},
		"same epoch":           {effects: []faker.Execution{effect("a", 2, 0, 3), effect("b", 2, 4, 6)}, want: 1},
		"not keyed":            {effects: []faker.Execution{effect("a", 0, 0, 3), effect("b", 0, 1, 6)}},
		"killed, then moved":   {effects: []faker.Execution{pending, effect("b", 2, 9, 12)}},
		"same partition":       {effects: []faker.Execution{effect("a", 1, 0, 5), other(effect("b", 2, 4, 9), "j", 0)}, want: 1},
		"partition, epoch":     {effects: []faker.Execution{effect("b", 2, 0, 3), other(effect("a", 1, 4, 6), "j", 0)}, want: 1},
		"given its own":        {effects: []faker.Execution{effect("a", 7, 0, 3), other(effect("b", 1, 4, 6), "k", 9)}},
		"its own, overlapping": {effects: []faker.Execution{effect("a", 7, 0, 5), other(effect("b", 1, 4, 6), "k", 9)}, want: 1},
		"given in wrong order": {effects: []faker.Execution{effect("b", 2, 5, 9), effect("a", 1, 0, 5)}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(countSecondOwners(tc.effects), tc.want)
		})
	}
}
