package config

import (
	"fmt"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Load decodes, merges and checks the base file and the overlays. It returns either a configuration that compiles, or all
// problems in the order of files and lines. In the configuration, the revision is 0, and the defaults for shards, weights
// and on_partition are set.
func Load(base SourceFile, overlays []SourceFile) (*schemav1.Configuration, []*schemav1.Problem) {
	loaded := LoadFiles(base, overlays)
	return loaded.Configuration, loaded.Problems
}

// LoadResult is the result of LoadFiles.
type LoadResult struct {
	// Configuration is nil if there are problems.
	Configuration *schemav1.Configuration
	// Problems are in the order of files and lines.
	Problems []*schemav1.Problem

	positions positionIndex
}

// LoadFiles does the same as Load, and its result also keeps the positions of the fields for LoadResult.CheckChange.
func LoadFiles(base SourceFile, overlays []SourceFile) *LoadResult {
	problems := &report{}
	configuration := &schemav1.Configuration{}
	merger := &merger{
		configuration: configuration, problems: problems,
		positions:        decode(base, 0, configuration, problems),
		overlayPositions: map[string]position{},
	}
	for i, file := range overlays {
		overlay := &schemav1.Overlay{}
		positions := decode(file, i+1, overlay, problems)
		merger.merge(overlay, positions)
	}
	if !merger.positions[""].invalid {
		check(configuration, merger.positions, problems)
	}
	loaded := &LoadResult{Problems: problems.sorted(), positions: merger.positions}
	if len(loaded.Problems) == 0 {
		fillDefaults(configuration)
		loaded.Configuration = configuration
	}
	return loaded
}

// merger applies overlays to the configuration of the base file.
type merger struct {
	configuration *schemav1.Configuration
	positions     positionIndex
	problems      *report
	// overlayPositions holds the position of the field data_centre of each overlay, by the name of the data centre.
	overlayPositions map[string]position
}

// dataCentreLimits are the limits that can be set for a data centre. Deadlines and body limits are not among them, because
// the response to a request would depend on the data centre where it arrives.
var dataCentreLimits = map[protoreflect.Name]bool{
	"max_header_bytes": true, "max_callers": true, "max_queue": true, "max_moves_per_minute": true,
}

func (m *merger) merge(overlay *schemav1.Overlay, positions positionIndex) {
	name := overlay.GetDataCentre()
	if name == "" {
		if _, set := positions["data_centre"]; !set && !positions[""].invalid {
			m.problems.add(positions[""], RuleMissing, "write data_centre: NAME", "the overlay does not name its data_centre")
		}
		return
	}
	at := positions.closest("data_centre")
	if first, twice := m.overlayPositions[name]; twice {
		m.problems.add(at, RuleDuplicateName, "keep one file per site", "%s has another overlay, %s", quote(name), first.file)
		return
	}
	m.overlayPositions[name] = at
	for i, dataCentre := range m.configuration.GetDataCentres() {
		if dataCentre.GetName() == name {
			m.applyOverlay(overlay, positions, dataCentre, fmt.Sprintf("data_centres[%d]", i))
			return
		}
	}
	if m.positions[""].invalid || m.positions["data_centres"].invalid {
		return
	}
	m.problems.add(at, RuleUnknownSite, suggestName(name, namesOf(m.configuration.GetDataCentres())), "the base file has no data centre %s", quote(name))
}

// applyOverlay copies the fields that the overlay sets and their positions to the data centre at path. Limits are copied
// field by field.
func (m *merger) applyOverlay(overlay *schemav1.Overlay, positions positionIndex, dataCentre *schemav1.DataCentre, path string) {
	source, destination := overlay.ProtoReflect(), dataCentre.ProtoReflect()
	for _, name := range []protoreflect.Name{"out", "lost", "link_mbit"} {
		m.copyField(source, destination, name, string(name), path, positions)
	}
	if overlay.GetLimits() == nil {
		return
	}
	if dataCentre.GetLimits() == nil {
		dataCentre.Limits = &schemav1.Limits{}
	}
	source, destination = overlay.GetLimits().ProtoReflect(), dataCentre.GetLimits().ProtoReflect()
	for i := range source.Descriptor().Fields().Len() {
		name := source.Descriptor().Fields().Get(i).Name()
		m.copyField(source, destination, name, "limits."+string(name), path, positions)
	}
}

func (m *merger) copyField(source, destination protoreflect.Message, name protoreflect.Name, sourcePath, path string, positions positionIndex) {
	at, set := positions[sourcePath]
	if !set || at.invalid {
		return
	}
	value := source.Get(source.Descriptor().Fields().ByName(name))
	destination.Set(destination.Descriptor().Fields().ByName(name), value)
	m.positions[path+"."+sourcePath] = at
}

// WithRevision returns a copy of configuration with the given revision number.
func WithRevision(configuration *schemav1.Configuration, revision uint64) *schemav1.Configuration {
	copied := proto.CloneOf(configuration)
	copied.Revision = revision
	return copied
}
