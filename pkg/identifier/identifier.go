// Package identifier holds the small named types that the other packages share.
package identifier

import "strconv"

// ServiceName names a service of the bundle, such as render_desk.
type ServiceName string

// ServerName names a backend server of the bundle.
type ServerName string

// DomainName names a failure domain.
type DomainName string

// CallerName names a caller as its requests give it.
type CallerName string

// ClassName names a request class of a service.
type ClassName string

// InstanceID identifies one run of an entry instance; a restart has a new one.
type InstanceID string

// RecordID identifies one record of the log, unique over all authors.
type RecordID string

// Offset is a position in the platform's log; the first record has offset 0.
type Offset uint64

// PartitionIndex numbers the partitions of one service from 0.
// Indexes from the bundle's partition count upwards are pinned keys.
type PartitionIndex int

// Epoch counts the changes of one partition's owner; 0 means never owned.
type Epoch uint64

// Term counts the changes of one server's fronting instance and is the server's fencing token.
type Term uint64

// PartitionID names one partition of one service.
type PartitionID struct {
	Service ServiceName    `json:"service"`
	Index   PartitionIndex `json:"index"`
}

// String returns the partition as service/index.
func (p PartitionID) String() string {
	return string(p.Service) + "/" + strconv.Itoa(int(p.Index))
}
