package config

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"almondrock.example/almondrock/pkg/internal/nearest"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// decoder fills a protobuf message from the syntax tree of one YAML file, and records the position of each field.
type decoder struct {
	start     position
	positions positionIndex
	problems  *report
}

// decode fills message from file and returns the positions of the fields. fileIndex is the rank of the file in the
// report. Fields with invalid values are reported and keep their zero value.
func decode(file SourceFile, fileIndex int, message proto.Message, problems *report) positionIndex {
	d := &decoder{
		start:     position{file: file.Name, fileIndex: fileIndex, line: 1, column: 1},
		positions: positionIndex{}, problems: problems,
	}
	d.positions[""] = d.start
	root := parse(file, fileIndex, problems)
	if root == nil {
		d.markInvalid("")
		return d.positions
	}
	d.decodeMessage(root, message.ProtoReflect(), "")
	return d.positions
}

func (d *decoder) at(node ast.Node) position {
	return d.start.atNode(node)
}

// decodeMessage fills message from a mapping. path is the path of the message in the file, empty for the root.
func (d *decoder) decodeMessage(node ast.Node, message protoreflect.Message, path string) {
	mapping, ok := mappingEntries(node)
	if !ok {
		d.reportWrongType(node, path, "a mapping of fields")
		d.markInvalid(path)
		return
	}
	seen := map[string]int{}
	for _, entry := range mapping {
		name, ok := d.fieldName(entry.Key)
		if !ok {
			continue
		}
		at := d.at(entry.Key)
		if line, twice := seen[name]; twice {
			d.problems.add(at, RuleDuplicateField, "keep one of them", "%s is set twice; the first is on line %d", quote(name), line)
			continue
		}
		seen[name] = at.line
		d.decodeField(entry, name, message, path)
	}
}

func (d *decoder) decodeField(entry *ast.MappingValueNode, name string, message protoreflect.Message, path string) {
	at := d.at(entry.Key)
	field := message.Descriptor().Fields().ByName(protoreflect.Name(name))
	if field == nil || field.FullName() == revisionField {
		d.reportUnknownField(at, name, entry.Value, message.Descriptor(), path)
		return
	}
	fieldPath := joinPath(path, name)
	d.positions[fieldPath] = at
	if field.IsList() {
		d.decodeList(entry.Value, field, message.Mutable(field).List(), fieldPath)
		return
	}
	if field.Kind() == protoreflect.MessageKind {
		d.decodeMessage(unwrap(entry.Value), message.Mutable(field).Message(), fieldPath)
		return
	}
	if value, ok := d.decodeScalar(unwrap(entry.Value), field, fieldPath); ok {
		message.Set(field, value)
	} else {
		d.markInvalid(fieldPath)
	}
}

// markInvalid marks a field whose invalid value has been reported, so that the checker doesn't report it as missing.
func (d *decoder) markInvalid(path string) {
	at := d.positions[path]
	at.invalid = true
	d.positions[path] = at
}

func (d *decoder) decodeList(node ast.Node, field protoreflect.FieldDescriptor, list protoreflect.List, path string) {
	sequence, ok := unwrap(node).(*ast.SequenceNode)
	if !ok {
		d.reportWrongType(node, path, "a list")
		d.markInvalid(path)
		return
	}
	for _, item := range sequence.Values {
		itemPath := path + "[" + strconv.Itoa(list.Len()) + "]"
		d.positions[itemPath] = d.at(unwrap(item))
		if field.Kind() == protoreflect.MessageKind {
			element := list.NewElement()
			d.decodeMessage(unwrap(item), element.Message(), itemPath)
			list.Append(element)
			continue
		}
		if value, ok := d.decodeScalar(unwrap(item), field, itemPath); ok {
			list.Append(value)
		} else {
			d.markInvalid(path)
		}
	}
}

// fieldName returns the key as text, or false if it is not text, which it reports. scanTokens reports merge keys.
func (d *decoder) fieldName(key ast.MapKeyNode) (string, bool) {
	switch key := key.(type) {
	case *ast.StringNode:
		return key.Value, true
	case *ast.MergeKeyNode:
		return "", false
	default:
		d.problems.add(d.at(key), RuleUnknownField, "write a field name of the schema", "%s is not a field name", quote(key.GetToken().Value))
		return "", false
	}
}

// markIntendedInvalid marks the field that a misspelled field was most likely meant to be, so that the checker doesn't
// report it as missing.
func (d *decoder) markIntendedInvalid(path string, at position) {
	if _, set := d.positions[path]; !set {
		at.invalid = true
		d.positions[path] = at
	}
}

// revisionField is a field that the files can't set, because the control group sets it.
const revisionField = protoreflect.FullName("almondrock.v1.Configuration.revision")

func (d *decoder) reportUnknownField(at position, name string, value ast.Node, message protoreflect.MessageDescriptor, path string) {
	if message.FullName()+"."+protoreflect.FullName(name) == revisionField {
		d.problems.add(at, RuleMisplacedField, "remove the field", "revision is set by the control group")
		return
	}
	overlay := (&schemav1.Overlay{}).ProtoReflect().Descriptor()
	if message == overlay && isBaseFileField(name) {
		d.problems.add(at, RuleNotInOverlay, "set it in the base file", "%s can't be set by a site", name)
		return
	}
	if field, ok := fieldWithUnitSuffix(name, message); ok {
		d.reportMissingUnit(at, name, field, value)
		d.markIntendedInvalid(joinPath(path, string(field.Name())), at)
		return
	}
	suggestion := "the fields are " + strings.Join(fieldNames(message), ", ")
	if near := nearest.Name(name, fieldNames(message)); near != "" {
		suggestion = "did you mean " + near + "?"
		d.markIntendedInvalid(joinPath(path, near), at)
	}
	d.problems.add(at, RuleUnknownField, suggestion, "%s is not a field of %s", quote(name), messageLabel(message))
}

// isBaseFileField reports whether name is a field of the base file or of a data centre in it.
func isBaseFileField(name string) bool {
	base := (&schemav1.Configuration{}).ProtoReflect().Descriptor().Fields()
	dataCentre := (&schemav1.DataCentre{}).ProtoReflect().Descriptor().Fields()
	return base.ByName(protoreflect.Name(name)) != nil || dataCentre.ByName(protoreflect.Name(name)) != nil
}

func fieldNames(message protoreflect.MessageDescriptor) []string {
	var names []string
	for i := range message.Fields().Len() {
		if field := message.Fields().Get(i); field.FullName() != revisionField {
			names = append(names, string(field.Name()))
		}
	}
	return names
}

// messageLabel returns what a message is called in problems, such as "a data centre".
func messageLabel(message protoreflect.MessageDescriptor) string {
	switch message.Name() {
	case "Configuration":
		return "the base file"
	case "Overlay":
		return "an overlay"
	case "DataCentre":
		return "a data centre"
	case "ClassLimits":
		return "a class"
	case "Limits":
		return "limits"
	default:
		return "a " + strings.ToLower(string(message.Name()))
	}
}

func (d *decoder) reportWrongType(node ast.Node, path, want string) {
	if isReportedByScan(node) {
		return
	}
	subject := path
	if subject == "" {
		subject = "the file"
	}
	d.problems.add(d.at(node), RuleWrongType, "write "+want, "%s must be %s, not %s", subject, want, describeNode(node))
}

// mappingEntries returns the key-value pairs of a mapping. The parser represents some mappings with a single pair by that
// pair alone.
func mappingEntries(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch node := unwrap(node).(type) {
	case *ast.MappingNode:
		return node.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{node}, true
	default:
		return nil, false
	}
}

// unwrap returns the value inside anchors and tags, which are not allowed in files and which scanTokens reports.
func unwrap(node ast.Node) ast.Node {
	for range maxDepth {
		switch inner := node.(type) {
		case *ast.AnchorNode:
			node = inner.Value
		case *ast.TagNode:
			node = inner.Value
		default:
			return node
		}
	}
	return node
}

// isReportedByScan reports whether there is no node, or one that scanTokens has already reported.
func isReportedByScan(node ast.Node) bool {
	return node == nil || node.Type() == ast.AliasType || node.Type() == ast.MergeKeyType
}

// describeNode describes a value of the file for a problem.
func describeNode(node ast.Node) string {
	switch node := unwrap(node).(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.NullNode:
		return "an empty value"
	case *ast.BoolNode:
		return node.Token.Value
	case *ast.IntegerNode, *ast.FloatNode:
		return "the number " + shorten(node.GetToken().Value)
	case *ast.StringNode:
		return "the text " + quote(node.Value)
	case *ast.LiteralNode:
		return "a block of text"
	default:
		return "this value"
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// shorten truncates text of a file that is quoted in a problem.
func shorten(text string) string {
	const limit = 60
	if len(text) > limit {
		return strings.ToValidUTF8(text[:limit], "") + "..."
	}
	return text
}

func quote(text string) string { return fmt.Sprintf("%q", shorten(text)) }
