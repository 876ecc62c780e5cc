package ctl

import (
	"fmt"
	"strings"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// textWriter builds the text form of results.
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

// keyspaces lists only those that the change touches.
func (w *textWriter) keyspaces(plan *schemav1.Plan) {
	for _, space := range plan.GetKeyspaces() {
		var notes []string
		switch {
		case space.GetAdded() && space.GetRemoved():
			notes = append(notes, "all keys assigned anew")
		case space.GetAdded():
			notes = append(notes, "added")
		case space.GetRemoved():
			notes = append(notes, "removed")
		}
		for _, move := range space.GetMoves() {
			notes = append(notes, fmt.Sprintf("%d from %s to %s", move.GetShards(), move.GetFrom(), move.GetTo()))
		}
		if space.GetStranded() > 0 {
			notes = append(notes, fmt.Sprintf("%d WITHOUT A DATA CENTRE", space.GetStranded()))
		}
		if len(notes) > 0 {
			w.line("keyspace %s (%d shards): %s", space.GetKeyspace(), space.GetShards(), strings.Join(notes, ", "))
		}
	}
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}

func serviceWord(inService bool) string {
	if inService {
		return "in service"
	}
	return "out"
}

func slotText(slots uint32) string {
	if slots == 0 {
		return ""
	}
	return fmt.Sprintf(", %d slots", slots)
}
