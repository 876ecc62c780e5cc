// Package settings reads the settings of a process from flags and environment variables into protobuf messages. The
// option "setting" of a field in the schema defines its flag, default and format. A flag takes precedence over the
// environment variable, and the variable over the default.
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

// VariablePrefix is the prefix of the names of all environment variables.
const VariablePrefix = "ALMONDROCK_"

// VariableName returns the name of the environment variable of a flag, such as ALMONDROCK_DATA_DIR for data-dir.
func VariableName(flag string) string {
	return VariablePrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// setting is a field of a settings message with its option "setting".
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

// flagValue implements pflag.Value for all settings. It accepts any text, because Read reports the invalid values of all
// flags together.
type flagValue struct {
	value    string
	typeName string
}

func (v *flagValue) String() string       { return v.value }
func (v *flagValue) Set(raw string) error { v.value = raw; return nil }
func (v *flagValue) Type() string         { return v.typeName }

// Register adds to flags a flag for each field of message that has the option "setting".
func Register(flags *pflag.FlagSet, message proto.Message) {
	for _, s := range settingsOf(message.ProtoReflect().Descriptor()) {
		flag := flags.VarPF(&flagValue{value: s.GetDefault(), typeName: s.typeName()}, s.GetFlag(), "", s.GetUsage()+" ["+VariableName(s.GetFlag())+"]")
		if s.field.Kind() == protoreflect.BoolKind {
			flag.NoOptDefVal = "true"
		}
	}
}

// typeName returns the placeholder for the value in the help text.
func (s setting) typeName() string {
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

// Read fills message from the parsed flags and from environ, which has the form of os.Environ. If values are invalid, it
// returns a *ValidationError with all of them and leaves their fields empty.
func Read(flags *pflag.FlagSet, environ []string, message proto.Message) error {
	variables := almondrockVariables(environ)
	target := message.ProtoReflect()
	invalid := &ValidationError{}
	for _, s := range settingsOf(target.Descriptor()) {
		raw, source := s.lookUp(flags, variables)
		value, expected := s.parse(raw)
		if expected != "" {
			invalid.Values = append(invalid.Values, s.invalidValue(raw, source, expected))
			continue
		}
		target.Set(s.field, value)
	}
	invalid.addSharedAddresses(target)
	invalid.addUnknownVariables(variables, target.Descriptor().ParentFile())
	if len(invalid.Values) > 0 {
		return merry.Wrap(invalid)
	}
	return nil
}

// ReadWithEnvironment calls Read with the environment of this process.
func ReadWithEnvironment(flags *pflag.FlagSet, message proto.Message) error {
	return Read(flags, os.Environ(), message)
}

func almondrockVariables(environ []string) map[string]string {
	variables := map[string]string{}
	for _, entry := range environ {
		if name, value, ok := strings.Cut(entry, "="); ok && strings.HasPrefix(name, VariablePrefix) {
			variables[name] = value
		}
	}
	return variables
}

// lookUp returns the value in force and its source.
func (s setting) lookUp(flags *pflag.FlagSet, variables map[string]string) (value, source string) {
	if flag := flags.Lookup(s.GetFlag()); flag != nil && flag.Changed {
		return flag.Value.String(), SourceFlag
	}
	if value, set := variables[VariableName(s.GetFlag())]; set {
		return value, SourceVariable
	}
	return s.GetDefault(), SourceDefault
}

// parse converts raw to the type of the field. If raw is invalid, expected describes valid values.
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
			return value, "a whole number from 0 to " + strconv.FormatUint(s.maxValue(), 10)
		}
		return protoreflect.ValueOfUint32(uint32(number)), ""
	default:
		return protoreflect.ValueOfString(raw), s.checkText(raw)
	}
}

func (s setting) maxValue() uint64 {
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

// Lines returns the settings as FLAG=VALUE for the log line at the start of a process. Values of secrets are replaced by
// "(hidden)".
func Lines(message proto.Message) []string {
	var lines []string
	for _, s := range settingsOf(message.ProtoReflect().Descriptor()) {
		value := message.ProtoReflect().Get(s.field).String()
		if s.GetSecret() && value != "" {
			value = hiddenValue
		}
		lines = append(lines, s.GetFlag()+"="+value)
	}
	return lines
}
