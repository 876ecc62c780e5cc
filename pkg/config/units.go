package config

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// bounds are the smallest and largest value of a numeric field.
type bounds struct{ low, high uint64 }

func (b bounds) suggestion() string {
	return fmt.Sprintf("write a number from %d to %d", b.low, b.high)
}

// fieldBounds holds for all fields of the name. A zero is never written out: leaving the field out gives the default.
var fieldBounds = map[protoreflect.Name]bounds{
	"deadline_ms":          {1, 3_600_000},     // a large download takes minutes; more than an hour is a mistake
	"max_body_bytes":       {1, 1 << 34},       // 16 GiB takes over an hour on the link between regions
	"max_header_bytes":     {1 << 10, 1 << 20}, // a header block must hold the platform's own headers
	"max_callers":          {1, 1_000_000},     // per host
	"max_queue":            {1, 65_536},        // per target
	"max_moves_per_minute": {1, 65_536},        // no more than all shards of a service
	"link_mbit":            {1, 1_000_000},     // 1 Tbit/s
	"weight":               {1, 1_000},         // deficit round robin visits a tenant once per weight
	"shards":               {1, maxShards},     // the table of a data centre grows with it
}

const maxShards = 65_536

func boundsOf(field protoreflect.FieldDescriptor) bounds {
	if found, ok := fieldBounds[field.Name()]; ok {
		return found
	}
	return bounds{0, math.MaxUint32}
}

// unit is the unit that a field's suffix states, with the words that people write for it and its multiples.
type unit struct {
	suffix, name string
	words        map[string]float64
}

var units = []unit{
	{"_ms", "milliseconds", map[string]float64{"ms": 1, "s": 1e3, "sec": 1e3, "m": 6e4, "min": 6e4, "h": 3.6e6}},
	{"_bytes", "bytes", map[string]float64{
		"b": 1, "k": 1 << 10, "kb": 1000, "kib": 1 << 10, "m": 1 << 20, "mb": 1e6, "mib": 1 << 20,
		"g": 1 << 30, "gb": 1e9, "gib": 1 << 30,
	}},
	{"_mbit", "Mbit/s", map[string]float64{"kbit/s": 1e-3, "mbit": 1, "mbit/s": 1, "mbps": 1, "gbit": 1e3, "gbit/s": 1e3, "gbps": 1e3}},
}

func unitOfField(field protoreflect.FieldDescriptor) (unit, bool) {
	for _, candidate := range units {
		if strings.HasSuffix(string(field.Name()), candidate.suffix) {
			return candidate, true
		}
	}
	return unit{}, false
}

func unitName(field protoreflect.FieldDescriptor) string {
	found, _ := unitOfField(field)
	return found.name
}

var quantityPattern = regexp.MustCompile(`^([0-9]{1,12}(?:\.[0-9]{1,6})?) ?([A-Za-z/]+)$`)

// convertToUnit converts text such as 5s to the unit of field.
func convertToUnit(text string, field protoreflect.FieldDescriptor) (uint64, bool) {
	found, ok := unitOfField(field)
	parts := quantityPattern.FindStringSubmatch(text)
	if !ok || parts == nil {
		return 0, false
	}
	factor, ok := found.words[strings.ToLower(parts[2])]
	number, err := strconv.ParseFloat(parts[1], 64)
	if !ok || err != nil {
		return 0, false
	}
	return uint64(math.Ceil(number * factor)), true
}

// fieldWithUnitSuffix finds the field that name stands for without its unit, as deadline for deadline_ms.
func fieldWithUnitSuffix(name string, message protoreflect.MessageDescriptor) (protoreflect.FieldDescriptor, bool) {
	for _, candidate := range units {
		if field := message.Fields().ByName(protoreflect.Name(name + candidate.suffix)); field != nil {
			return field, true
		}
	}
	return nil, false
}

func (d *decoder) reportMissingUnit(at position, name string, field protoreflect.FieldDescriptor, value ast.Node) {
	suggestion := "write " + string(field.Name())
	if value != nil && value.GetToken() != nil {
		if number, ok := convertToUnit(value.GetToken().Value, field); ok {
			suggestion += ": " + strconv.FormatUint(number, 10)
		}
	}
	d.problems.add(at, RuleWrongUnit, suggestion, "%s is not a field; %s is a number of %s", name, field.Name(), unitName(field))
}
