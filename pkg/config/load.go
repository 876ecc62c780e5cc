package config

import (
	"fmt"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Load decodes the base file and the overlays, merges and checks them. It returns either a configuration that compiles
// or all problems, in the order of the files and their lines. The revision is left at 0, and the defaults for shards,
// weights and on_partition are filled in.
func Load(base SourceFile, overlays []SourceFile) (*schemav1.Configuration, []*schemav1.Problem) {
	loaded := LoadFiles(base, overlays)
	return loaded.Configuration, loaded.Problems
}

// LoadResult is the result of LoadFiles.
type LoadResult struct {
	// Configuration is nil when there are problems.
	Configuration *schemav1.Configuration
	// Problems are in the order of the files and their lines.
	Problems []*schemav1.Problem

	places positions
}

// LoadFiles is Load with the places of the fields kept for Loaded.CheckChange.
func LoadFiles(base SourceFile, overlays []SourceFile) *LoadResult {
	problems := &report{}
	configuration := &schemav1.Configuration{}
	merger := &merger{
		configuration: configuration, problems: problems,
		places: decode(base, 0, configuration, problems),
		sites:  map[string]position{},
	}
	for i, file := range overlays {
		overlay := &schemav1.Overlay{}
		places := decode(file, i+1, overlay, problems)
		merger.merge(overlay, places)
	}
	if !merger.places[""].refused {
		check(configuration, merger.places, problems)
	}
	loaded := &LoadResult{Problems: problems.sorted(), places: merger.places}
	if len(loaded.Problems) == 0 {
		fillDefaults(configuration)
		loaded.Configuration = configuration
	}
	return loaded
}

// merger applies overlays to the base file.
type merger struct {
	configuration *schemav1.Configuration
	places        positions
	problems      *report
	sites         map[string]position
}

// siteLimits are the limits that a site may set. A deadline or body limit that differs between sites would make the
// answer to a request depend on where it arrives.
var siteLimits = map[protoreflect.Name]bool{
	"max_header_bytes": true, "max_callers": true, "max_queue": true, "max_moves_per_minute": true,
}

func (m *merger) merge(overlay *schemav1.Overlay, places positions) {
	name := overlay.GetDataCentre()
	if name == "" {
		if _, set := places["data_centre"]; !set && !places[""].refused {
			m.problems.add(places[""], RuleMissing, "write data_centre: NAME", "the overlay does not name its data_centre")
		}
		return
	}
	at := places.near("data_centre")
	if first, twice := m.sites[name]; twice {
		m.problems.add(at, RuleDuplicateName, "keep one file per site", "%s has another overlay, %s", quote(name), first.file)
		return
	}
	m.sites[name] = at
	for i, site := range m.configuration.GetDataCentres() {
		if site.GetName() == name {
			m.apply(overlay, places, site, fmt.Sprintf("data_centres[%d]", i))
			return
		}
	}
	if m.places[""].refused || m.places["data_centres"].refused {
		return
	}
	m.problems.add(at, RuleUnknownSite, suggestName(name, namesOf(m.configuration.GetDataCentres())), "the base file has no data centre %s", quote(name))
}

// apply copies each field that the overlay sets, limits field by field, and its place.
func (m *merger) apply(overlay *schemav1.Overlay, places positions, site *schemav1.DataCentre, path string) {
	source, target := overlay.ProtoReflect(), site.ProtoReflect()
	for _, name := range []protoreflect.Name{"out", "lost", "link_mbit"} {
		m.copyField(source, target, name, string(name), path, places)
	}
	if overlay.GetLimits() == nil {
		return
	}
	if site.GetLimits() == nil {
		site.Limits = &schemav1.Limits{}
	}
	source, target = overlay.GetLimits().ProtoReflect(), site.GetLimits().ProtoReflect()
	for i := range source.Descriptor().Fields().Len() {
		name := source.Descriptor().Fields().Get(i).Name()
		m.copyField(source, target, name, "limits."+string(name), path, places)
	}
}

func (m *merger) copyField(source, target protoreflect.Message, name protoreflect.Name, from, path string, places positions) {
	at, set := places[from]
	if !set || at.refused {
		return
	}
	value := source.Get(source.Descriptor().Fields().ByName(name))
	target.Set(target.Descriptor().Fields().ByName(name), value)
	m.places[path+"."+from] = at
}

// WithRevision returns a copy of configuration with the given revision.
func WithRevision(configuration *schemav1.Configuration, revision uint64) *schemav1.Configuration {
	copied := proto.CloneOf(configuration)
	copied.Revision = revision
	return copied
}
