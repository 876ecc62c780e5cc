package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	"almondrock.example/almondrock/pkg/internal/nearest"
)

// Sources of a value.
const (
	SourceFlag     = "flag"
	SourceVariable = "variable"
	SourceDefault  = "default"
)

// hidden stands for a secret in all output.
const hidden = "(hidden)"

// InvalidValue is one value that can't be used.
type InvalidValue struct {
	// Flag is empty for an unknown variable.
	Flag     string
	Variable string
	// Value is what was given; "(hidden)" for secrets and unknown variables, which may be misspelled secrets.
	Value string
	// Source tells which of flag, variable and default the value is from.
	Source string
	// Expected tells what to write instead.
	Expected string
}

// String is one line.
func (w InvalidValue) String() string {
	if w.Flag == "" {
		return fmt.Sprintf("%s: unknown variable; expected %s", w.Variable, w.Expected)
	}
	value := w.Value
	if value != hidden {
		value = fmt.Sprintf("%q", value)
	}
	return fmt.Sprintf("--%s (%s): %s from the %s; expected %s", w.Flag, w.Variable, value, w.Source, w.Expected)
}

// ValidationError reports all wrong settings of a process.
type ValidationError struct {
	Values []InvalidValue
}

// Error has one line per wrong value.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Values))
	for i, value := range e.Values {
		lines[i] = value.String()
	}
	return strings.Join(lines, "\n")
}

func (s setting) wrong(raw, source, expected string) InvalidValue {
	if s.GetSecret() {
		raw = hidden
	}
	return InvalidValue{Flag: s.GetFlag(), Variable: VariableName(s.GetFlag()), Value: raw, Source: source, Expected: expected}
}

// addShared reports addresses that two settings have in common, since only one can listen there.
func (e *ValidationError) addShared(message protoreflect.Message) {
	first := map[netip.AddrPort]string{}
	for _, s := range settingsOf(message.Descriptor()) {
		if s.GetFormat() != formatAddress && s.GetFormat() != formatPeerAddress {
			continue
		}
		raw := message.Get(s.field).String()
		address, err := netip.ParseAddrPort(raw)
		if err != nil || address.Port() == 0 {
			continue
		}
		if other, taken := first[address]; taken {
			e.Values = append(e.Values, s.wrong(raw, "same place as --"+other, "an address of its own"))
			continue
		}
		first[address] = s.GetFlag()
	}
}

// addUnknown reports variables that belong to no message of the schema. Those of other commands are fine, since one
// environment may serve several.
func (e *ValidationError) addUnknown(variables map[string]string, schema protoreflect.FileDescriptor) {
	var known []string
	for i := range schema.Messages().Len() {
		for _, s := range settingsOf(schema.Messages().Get(i)) {
			known = append(known, VariableName(s.GetFlag()))
		}
	}
	var unknown []string
	for name := range variables {
		if !slices.Contains(known, name) {
			unknown = append(unknown, name)
		}
	}
	slices.Sort(unknown)
	for _, name := range unknown {
		expected := "a variable that almondrock --help lists"
		// Without the common prefix, the distance is one between the parts that differ.
		if near := nearest.Name(strings.TrimPrefix(name, VariablePrefix), withoutPrefix(known)); near != "" {
			expected = VariablePrefix + near
		}
		e.Values = append(e.Values, InvalidValue{Variable: name, Value: hidden, Source: SourceVariable, Expected: expected})
	}
}

func withoutPrefix(variables []string) []string {
	short := make([]string, len(variables))
	for i, name := range variables {
		short[i] = strings.TrimPrefix(name, VariablePrefix)
	}
	return short
}
