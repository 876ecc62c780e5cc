// Package grants places the key ranges of exclusive services on targets and keeps their grants. The planner is pure;
// the keeper runs on the leader of the registry and calls targets through an interface.
package grants
