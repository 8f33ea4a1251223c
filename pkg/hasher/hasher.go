// Package hasher maps keys to partitions and ranks candidates by rendezvous hashing.
// Its results are part of the wire contract between instances: they depend on the arguments alone.
package hasher

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// separator ends each part of a rank, so that ("ab", "c") and ("a", "bc") differ. 0xff occurs in no UTF-8 text.
const separator = 0xff

// Partition returns the partition of key, from 0 to partitions-1, and 0 when partitions is not positive.
func Partition(key string, partitions int) identifier.PartitionIndex {
	if partitions <= 0 {
		return 0
	}
	return identifier.PartitionIndex(xxhash.Sum64String(key) % uint64(partitions))
}

// Rank returns the rendezvous score of parts; the candidate with the highest score is ranked first.
func Rank(parts ...string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{separator})
	}
	return digest.Sum64()
}
