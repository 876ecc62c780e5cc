package ctl

import (
	"fmt"
	"strings"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// textWriter builds the text form of a result.
type textWriter struct{ strings.Builder }

func (w *textWriter) line(format string, args ...any) {
	fmt.Fprintf(&w.Builder, format+"\n", args...)
}

func (w *textWriter) section(name string, count int) {
	if count == 0 {
		w.line("%s: none", name)
		return
	}
	w.line("%s: %d", name, count)
}

func (w *textWriter) changes(changes []*schemav1.PlannedChange) {
	for _, change := range changes {
		w.line("  %s: %s -> %s", change.GetPath(), orNone(change.GetOldValue()), orNone(change.GetNewValue()))
	}
}

// keyspaces lists the keyspaces that the change affects.
func (w *textWriter) keyspaces(plan *schemav1.Plan) {
	for _, keyspace := range plan.GetKeyspaces() {
		var notes []string
		switch {
		case keyspace.GetAdded() && keyspace.GetRemoved():
			notes = append(notes, "all keys assigned anew")
		case keyspace.GetAdded():
			notes = append(notes, "added")
		case keyspace.GetRemoved():
			notes = append(notes, "removed")
		}
		for _, move := range keyspace.GetMoves() {
			notes = append(notes, fmt.Sprintf("%d from %s to %s", move.GetShards(), move.GetFrom(), move.GetTo()))
		}
		if keyspace.GetStranded() > 0 {
			notes = append(notes, fmt.Sprintf("%d WITHOUT A DATA CENTRE", keyspace.GetStranded()))
		}
		if len(notes) > 0 {
			w.line("keyspace %s (%d shards): %s", keyspace.GetKeyspace(), keyspace.GetShards(), strings.Join(notes, ", "))
		}
	}
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}

func formatServiceState(inService bool) string {
	if inService {
		return "in service"
	}
	return "out"
}

func formatSlots(slots uint32) string {
	if slots == 0 {
		return ""
	}
	return fmt.Sprintf(", %d slots", slots)
}
