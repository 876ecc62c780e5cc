package config

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Diff returns the fields that differ between two configurations, in the order of the schema. It ignores the revision
// numbers and fields that are only set to their default. Elements of lists are matched by name, and routes by path prefix.
// Either side may be nil.
func Diff(old, next *schemav1.Configuration) []*schemav1.PlannedChange {
	var changes []*schemav1.PlannedChange
	diffMessage(withDefaults(old).ProtoReflect(), withDefaults(next).ProtoReflect(), "", &changes)
	return changes
}

func withDefaults(configuration *schemav1.Configuration) *schemav1.Configuration {
	copied := &schemav1.Configuration{}
	if configuration != nil {
		copied = proto.CloneOf(configuration)
	}
	fillDefaults(copied)
	return copied
}

func diffMessage(old, next protoreflect.Message, path string, changes *[]*schemav1.PlannedChange) {
	fields := old.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		name := joinPath(path, string(field.Name()))
		switch {
		case field.FullName() == revisionField:
		case field.IsList() && field.Kind() == protoreflect.MessageKind:
			diffList(old.Get(field).List(), next.Get(field).List(), name, changes)
		case field.Kind() == protoreflect.MessageKind:
			diffMessage(old.Get(field).Message(), next.Get(field).Message(), name, changes)
		default:
			addChange(name, valueText(old, field), valueText(next, field), changes)
		}
	}
}

func addChange(path, old, next string, changes *[]*schemav1.PlannedChange) {
	if old != next {
		*changes = append(*changes, &schemav1.PlannedChange{Path: path, OldValue: old, NewValue: next})
	}
}

// diffList adds one change for a removed element, and one for each field of an added element.
func diffList(old, next protoreflect.List, path string, changes *[]*schemav1.PlannedChange) {
	after := elementsByKey(next)
	before := elementsByKey(old)
	for i := range old.Len() {
		key := elementKey(old.Get(i).Message())
		elementPath := path + "[" + key + "]"
		if match, ok := after[key]; ok {
			diffMessage(old.Get(i).Message(), match, elementPath, changes)
			continue
		}
		addChange(elementPath, key, "", changes)
	}
	for i := range next.Len() {
		element := next.Get(i).Message()
		key := elementKey(element)
		if _, ok := before[key]; !ok {
			diffMessage(element.Type().Zero(), element, path+"["+key+"]", changes)
		}
	}
}

func elementsByKey(list protoreflect.List) map[string]protoreflect.Message {
	byKey := map[string]protoreflect.Message{}
	for i := range list.Len() {
		byKey[elementKey(list.Get(i).Message())] = list.Get(i).Message()
	}
	return byKey
}

// elementKey returns the first field of an element, which is its name or path prefix.
func elementKey(element protoreflect.Message) string {
	return valueText(element, element.Descriptor().Fields().Get(0))
}

// valueText returns the value of a field as it is written in the files, or "" if it is not set.
func valueText(message protoreflect.Message, field protoreflect.FieldDescriptor) string {
	if !message.Has(field) {
		return ""
	}
	value := message.Get(field)
	if field.IsList() {
		items := make([]string, value.List().Len())
		for i := range items {
			items[i] = value.List().Get(i).String()
		}
		return "[" + strings.Join(items, ", ") + "]"
	}
	if field.Kind() == protoreflect.EnumKind {
		words := enumWords(field.Enum())
		if number := int(value.Enum()); number >= 1 && number <= len(words) {
			return words[number-1]
		}
	}
	return fmt.Sprint(value.Interface())
}
