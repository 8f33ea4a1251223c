package hasher

import (
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// The values are part of the wire contract: instances of different versions must agree on them.
func TestPartitionNeverChanges(t *testing.T) {
	tests := map[string]struct {
		key        string
		partitions int
		want       identifier.PartitionIndex
	}{
		"empty key":     {key: "", partitions: 480, want: 441},
		"key":           {key: "app_1", partitions: 480, want: 193},
		"slash":         {key: "a/b", partitions: 480, want: 238},
		"one partition": {key: "app_1", partitions: 1, want: 0},
		"no partitions": {key: "app_1", partitions: 0, want: 0},
		"negative":      {key: "app_1", partitions: -3, want: 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(Partition(tc.key, tc.partitions), tc.want)
		})
	}
}

func TestPartitionSpreadsKeys(t *testing.T) {
	const keys, partitions = 100_000, 50
	var counts [partitions]int
	for i := range keys {
		counts[Partition("key_"+strconv.Itoa(i), partitions)]++
	}
	for _, count := range counts {
		is.New(t).True(count > 1800 && count < 2200)
	}
}

func TestRankTellsItsPartsApart(t *testing.T) {
	is := is.New(t)
	is.True(Rank("ab", "c") != Rank("a", "bc"))
	is.True(Rank("a") != Rank("a", ""))
	is.Equal(Rank("render_01", "7"), Rank("render_01", "7"))
	is.Equal(testing.AllocsPerRun(100, func() { Rank("render_01", "7") }), 0.0)
}
