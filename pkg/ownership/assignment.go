// Package ownership holds the replicated table of one data centre group.
package ownership

import schemav1 "almondrock.example/almondrock/pkg/schema/v1"

// Assignment is the owner of a shard or hot key as the table has it.
type Assignment struct {
	Target, Host string
	Fence        *schemav1.Fence
	Moving       bool
	Attachment   uint64
}
