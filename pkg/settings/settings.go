// Package settings reads process settings from flags and ALMONDROCK_ variables into protobuf messages. The fields'
// "setting" options give flag, default and format; a flag wins over its variable, and the variable over the default.
package settings

import (
	"os"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/pflag"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// VariablePrefix starts the names of all variables.
const VariablePrefix = "ALMONDROCK_"

// VariableName is the name of the environment variable of a flag.
func VariableName(flag string) string {
	return VariablePrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// setting is one field with its option.
type setting struct {
	*schemav1.Setting
	field protoreflect.FieldDescriptor
}

func settingsOf(message protoreflect.MessageDescriptor) []setting {
	var found []setting
	for i := range message.Fields().Len() {
		field := message.Fields().Get(i)
		if option, ok := proto.GetExtension(field.Options(), schemav1.E_Setting).(*schemav1.Setting); ok && option != nil {
			found = append(found, setting{Setting: option, field: field})
		}
	}
	return found
}

// text is a flag's value. It accepts everything, because Read reports the wrong values of all flags together.
type text struct {
	value string
	kind  string
}

func (t *text) String() string       { return t.value }
func (t *text) Set(raw string) error { t.value = raw; return nil }
func (t *text) Type() string         { return t.kind }

// Register adds a flag for each field of message that has a setting.
func Register(flags *pflag.FlagSet, message proto.Message) {
	for _, s := range settingsOf(message.ProtoReflect().Descriptor()) {
		flag := flags.VarPF(&text{value: s.GetDefault(), kind: s.kind()}, s.GetFlag(), "", s.GetUsage()+" ["+VariableName(s.GetFlag())+"]")
		if s.field.Kind() == protoreflect.BoolKind {
			flag.NoOptDefVal = "true"
		}
	}
}

// kind is what the help text shows in place of the value.
func (s setting) kind() string {
	switch {
	case s.field.Kind() == protoreflect.BoolKind:
		return "bool"
	case s.field.Kind() == protoreflect.Uint32Kind:
		return "number"
	case s.GetFormat() == "":
		return "text"
	default:
		return s.GetFormat()
	}
}

// Read fills message from the parsed flags and the environment, in the form of os.Environ. It fails with InvalidError,
// which has all wrong values. Fields with wrong values are left empty.
func Read(flags *pflag.FlagSet, environ []string, message proto.Message) error {
	variables := variablesOf(environ)
	target := message.ProtoReflect()
	invalid := &ValidationError{}
	for _, s := range settingsOf(target.Descriptor()) {
		raw, source := s.lookUp(flags, variables)
		value, expected := s.parse(raw)
		if expected != "" {
			invalid.Values = append(invalid.Values, s.wrong(raw, source, expected))
			continue
		}
		target.Set(s.field, value)
	}
	invalid.addShared(target)
	invalid.addUnknown(variables, target.Descriptor().ParentFile())
	if len(invalid.Values) > 0 {
		return merry.Wrap(invalid)
	}
	return nil
}

// ReadWithEnvironment is Read with the environment of this process.
func ReadWithEnvironment(flags *pflag.FlagSet, message proto.Message) error {
	return Read(flags, os.Environ(), message)
}

func variablesOf(environ []string) map[string]string {
	variables := map[string]string{}
	for _, entry := range environ {
		if name, value, ok := strings.Cut(entry, "="); ok && strings.HasPrefix(name, VariablePrefix) {
			variables[name] = value
		}
	}
	return variables
}

// lookUp returns the value that wins and where it is from.
func (s setting) lookUp(flags *pflag.FlagSet, variables map[string]string) (value, source string) {
	if flag := flags.Lookup(s.GetFlag()); flag != nil && flag.Changed {
		return flag.Value.String(), SourceFlag
	}
	if value, set := variables[VariableName(s.GetFlag())]; set {
		return value, SourceVariable
	}
	return s.GetDefault(), SourceDefault
}

// parse converts raw to the field's type, or tells what is expected instead.
func (s setting) parse(raw string) (value protoreflect.Value, expected string) {
	switch s.field.Kind() {
	case protoreflect.BoolKind:
		if raw != "true" && raw != "false" {
			return value, "true or false"
		}
		return protoreflect.ValueOfBool(raw == "true"), ""
	case protoreflect.Uint32Kind:
		number, err := strconv.ParseUint(raw, 10, 32)
		if err != nil || (s.GetMax() > 0 && number > uint64(s.GetMax())) {
			return value, "a whole number from 0 to " + strconv.FormatUint(s.highest(), 10)
		}
		return protoreflect.ValueOfUint32(uint32(number)), ""
	default:
		return protoreflect.ValueOfString(raw), s.checkText(raw)
	}
}

func (s setting) highest() uint64 {
	if s.GetMax() > 0 {
		return uint64(s.GetMax())
	}
	return 1<<32 - 1
}

func (s setting) checkText(raw string) string {
	switch {
	case raw != "":
		return checkFormat(s.GetFormat(), raw)
	case s.GetRequired():
		return "a value, since it is required: " + s.GetUsage()
	case s.GetDefault() != "":
		return "a value such as " + s.GetDefault()
	default:
		return ""
	}
}

// Lines returns the settings as FLAG=VALUE, without the values of secrets, for a log line at the start.
func Lines(message proto.Message) []string {
	var lines []string
	for _, s := range settingsOf(message.ProtoReflect().Descriptor()) {
		value := message.ProtoReflect().Get(s.field).String()
		if s.GetSecret() && value != "" {
			value = hidden
		}
		lines = append(lines, s.GetFlag()+"="+value)
	}
	return lines
}
