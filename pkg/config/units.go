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

// bounds holds the smallest and the largest valid value of a numeric field.
type bounds struct{ low, high uint64 }

func (b bounds) suggestion() string {
	return fmt.Sprintf("write a number from %d to %d", b.low, b.high)
}

// fieldBounds holds the bounds of all fields of a name, in any message. 0 is never valid: to get the default, the field is
// left out.
var fieldBounds = map[protoreflect.Name]bounds{
	"deadline_ms":          {1, 3_600_000},     // a large download takes minutes; more than an hour is a mistake
	"max_body_bytes":       {1, 1 << 34},       // 16 GiB take over an hour on the link between regions
	"max_header_bytes":     {1 << 10, 1 << 20}, // the smallest limit must leave room for the platform's own headers
	"max_callers":          {1, 1_000_000},     // per host
	"max_queue":            {1, 65_536},        // per target
	"max_moves_per_minute": {1, 65_536},        // no more than all shards of a service
	"link_mbit":            {1, 1_000_000},     // 1 Tbit/s
	"weight":               {1, 1_000},         // deficit round robin serves up to this many requests of a tenant in a row
	"shards":               {1, maxShards},     // the shard table of a data centre grows with it
}

// maxShards is the largest number of shards of a service.
const maxShards = 65_536

func boundsOf(field protoreflect.FieldDescriptor) bounds {
	if found, ok := fieldBounds[field.Name()]; ok {
		return found
	}
	return bounds{0, math.MaxUint32}
}

// unit is the unit of the fields with a suffix, such as milliseconds for _ms. factors maps the names of related units that
// people write in its place, such as s, to their size in this unit.
type unit struct {
	suffix, name string
	factors      map[string]float64
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

// convertToUnit converts text with a unit, such as 5s, to a number in the unit of field, rounded up. It returns false if
// the text is not a quantity of such a unit.
func convertToUnit(text string, field protoreflect.FieldDescriptor) (uint64, bool) {
	found, ok := unitOfField(field)
	parts := quantityPattern.FindStringSubmatch(text)
	if !ok || parts == nil {
		return 0, false
	}
	factor, ok := found.factors[strings.ToLower(parts[2])]
	number, err := strconv.ParseFloat(parts[1], 64)
	if !ok || err != nil {
		return 0, false
	}
	return uint64(math.Ceil(number * factor)), true
}

// fieldWithUnitSuffix returns the field whose name is name and a unit suffix, such as deadline_ms for deadline.
func fieldWithUnitSuffix(name string, message protoreflect.MessageDescriptor) (protoreflect.FieldDescriptor, bool) {
	for _, candidate := range units {
		if field := message.Fields().ByName(protoreflect.Name(name + candidate.suffix)); field != nil {
			return field, true
		}
	}
	return nil, false
}

// reportMissingUnit reports a field name that lacks its unit suffix, and suggests the field with the converted value.
func (d *decoder) reportMissingUnit(at position, name string, field protoreflect.FieldDescriptor, value ast.Node) {
	suggestion := "write " + string(field.Name())
	if value != nil && value.GetToken() != nil {
		if number, ok := convertToUnit(value.GetToken().Value, field); ok {
			suggestion += ": " + strconv.FormatUint(number, 10)
		}
	}
	d.problems.add(at, RuleWrongUnit, suggestion, "%s is not a field; %s is a number of %s", name, field.Name(), unitName(field))
}
