package config

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
	"google.golang.org/protobuf/reflect/protoreflect"

	"almondrock.example/almondrock/pkg/internal/nearest"
)

// decodeScalar converts node to a value of the type of field. If it can't, it reports the reason and returns false.
func (d *decoder) decodeScalar(node ast.Node, field protoreflect.FieldDescriptor, path string) (protoreflect.Value, bool) {
	if node == nil || isReportedByScan(node) {
		return protoreflect.Value{}, false
	}
	switch field.Kind() {
	case protoreflect.StringKind:
		if text, ok := node.(*ast.StringNode); ok {
			return protoreflect.ValueOfString(text.Value), true
		}
		d.reportWrongType(node, path, "text")
	case protoreflect.BoolKind:
		if value, ok := node.(*ast.BoolNode); ok {
			return protoreflect.ValueOfBool(value.Value), true
		}
		d.reportWrongType(node, path, "true or false")
	case protoreflect.EnumKind:
		return d.decodeEnum(node, field.Enum(), path)
	default:
		return d.decodeNumber(node, field, path)
	}
	return protoreflect.Value{}, false
}

// decodeEnum accepts the words of enumWords.
func (d *decoder) decodeEnum(node ast.Node, enum protoreflect.EnumDescriptor, path string) (protoreflect.Value, bool) {
	words := enumWords(enum)
	text, ok := node.(*ast.StringNode)
	if !ok {
		d.reportWrongType(node, path, "one of "+strings.Join(words, ", "))
		return protoreflect.Value{}, false
	}
	for number, word := range words {
		if word == text.Value {
			return protoreflect.ValueOfEnum(protoreflect.EnumNumber(number + 1)), true //nolint:gosec // enums are small
		}
	}
	suggestion := "write one of " + strings.Join(words, ", ")
	if near := nearest.Name(strings.ToLower(text.Value), words); near != "" {
		suggestion = "did you mean " + near + "?"
	}
	d.problems.add(d.at(node), RuleUnknownValue, suggestion, "%s can't be %s", path, quote(text.Value))
	return protoreflect.Value{}, false
}

// enumWords returns the words for the enum values 1, 2, ... in the files: their names in lower case without the common
// prefix, such as booking for REQUEST_CLASS_BOOKING. The value 0 means that the field is not set, and has no word.
func enumWords(enum protoreflect.EnumDescriptor) []string {
	zero := string(enum.Values().ByNumber(0).Name())
	prefix := strings.TrimSuffix(zero, "UNSPECIFIED")
	words := make([]string, 0, enum.Values().Len()-1)
	for number := 1; number < enum.Values().Len(); number++ {
		name := string(enum.Values().ByNumber(protoreflect.EnumNumber(number)).Name()) //nolint:gosec // enums are small
		words = append(words, strings.ToLower(strings.TrimPrefix(name, prefix)))
	}
	return words
}

var decimalPattern = regexp.MustCompile(`^[0-9]+$`)

func (d *decoder) decodeNumber(node ast.Node, field protoreflect.FieldDescriptor, path string) (protoreflect.Value, bool) {
	none := protoreflect.Value{}
	bounds, digits := boundsOf(field), node.GetToken().Value
	if text, ok := node.(*ast.StringNode); ok && text.Token.Type == token.StringType {
		if decimalPattern.MatchString(digits) { // the parser returns a number that exceeds 64 bits as text
			d.problems.add(d.at(node), RuleOutOfRange, bounds.suggestion(), "%s can't be %s", path, shorten(digits))
			return none, false
		}
		if value, ok := convertToUnit(text.Value, field); ok {
			d.problems.add(d.at(node), RuleWrongUnit, "write "+string(field.Name())+": "+strconv.FormatUint(value, 10),
				"%s is a number of %s, not %s", path, unitName(field), quote(text.Value))
			return none, false
		}
	}
	integer, ok := node.(*ast.IntegerNode)
	if !ok || !decimalPattern.MatchString(strings.TrimPrefix(digits, "-")) {
		d.reportWrongType(node, path, "a whole number")
		return none, false
	}
	value, err := strconv.ParseUint(integer.Token.Value, 10, 64)
	if err != nil || value < bounds.low || value > bounds.high {
		d.problems.add(d.at(node), RuleOutOfRange, bounds.suggestion(), "%s can't be %s", path, shorten(digits))
		return none, false
	}
	if field.Kind() == protoreflect.Uint32Kind {
		return protoreflect.ValueOfUint32(uint32(value)), true //nolint:gosec // bounds of 32-bit fields fit
	}
	return protoreflect.ValueOfUint64(value), true
}
