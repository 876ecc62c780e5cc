package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	"almondrock.example/almondrock/pkg/internal/nearest"
)

// Sources that a setting's value can come from.
const (
	SourceFlag     = "flag"
	SourceVariable = "variable"
	SourceDefault  = "default"
)

// hiddenValue replaces the value of a secret in all output.
const hiddenValue = "(hidden)"

// InvalidValue describes a value of a setting that can't be used, or an unknown environment variable.
type InvalidValue struct {
	// Flag is the name of the setting's flag without "--"; it is empty for an unknown variable.
	Flag string
	// Variable is the name of the environment variable.
	Variable string
	// Value is the given value. It is "(hidden)" for secrets, and for unknown variables, which may be misspelled secrets.
	Value string
	// Source is SourceFlag, SourceVariable or SourceDefault, or the text "same place as --FLAG" for an address that two
	// settings share.
	Source string
	// Expected describes a valid value.
	Expected string
}

// String describes the invalid value in one line.
func (v InvalidValue) String() string {
	if v.Flag == "" {
		return fmt.Sprintf("%s: unknown variable; expected %s", v.Variable, v.Expected)
	}
	value := v.Value
	if value != hiddenValue {
		value = fmt.Sprintf("%q", value)
	}
	return fmt.Sprintf("--%s (%s): %s from the %s; expected %s", v.Flag, v.Variable, value, v.Source, v.Expected)
}

// ValidationError lists all invalid settings of a process.
type ValidationError struct {
	Values []InvalidValue
}

// Error returns one line per invalid value.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Values))
	for i, value := range e.Values {
		lines[i] = value.String()
	}
	return strings.Join(lines, "\n")
}

func (s setting) invalidValue(raw, source, expected string) InvalidValue {
	if s.GetSecret() {
		raw = hiddenValue
	}
	return InvalidValue{Flag: s.GetFlag(), Variable: VariableName(s.GetFlag()), Value: raw, Source: source, Expected: expected}
}

// addSharedAddresses reports listen addresses that two settings have in common, since only one listener can use an
// address.
func (e *ValidationError) addSharedAddresses(message protoreflect.Message) {
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
			e.Values = append(e.Values, s.invalidValue(raw, "same place as --"+other, "an address of its own"))
			continue
		}
		first[address] = s.GetFlag()
	}
}

// addUnknownVariables reports variables that no message of the schema defines. Variables of other commands are accepted,
// because commands may share an environment.
func (e *ValidationError) addUnknownVariables(variables map[string]string, schema protoreflect.FileDescriptor) {
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
		// The common prefix is left out, because the edit distance that counts as near grows with the length of the name.
		if near := nearest.Name(strings.TrimPrefix(name, VariablePrefix), withoutPrefix(known)); near != "" {
			expected = VariablePrefix + near
		}
		e.Values = append(e.Values, InvalidValue{Variable: name, Value: hiddenValue, Source: SourceVariable, Expected: expected})
	}
}

func withoutPrefix(variables []string) []string {
	short := make([]string, len(variables))
	for i, name := range variables {
		short[i] = strings.TrimPrefix(name, VariablePrefix)
	}
	return short
}
