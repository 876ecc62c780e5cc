package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

func (inv *invocation) print(text string) error {
	if _, err := fmt.Fprintln(inv.Out, strings.TrimRight(text, "\n")); err != nil {
		return merry.Wrap(&OutputError{Err: err})
	}
	return nil
}

// printMessage writes message in the configured output form: as JSON, or as the given text.
func (inv *invocation) printMessage(message proto.Message, text string) error {
	if !inv.isJSON() {
		return inv.print(text)
	}
	encoded, err := protojson.Marshal(message)
	if err != nil {
		return merry.Wrap(&OutputError{Err: err})
	}
	return inv.printJSON(encoded)
}

// printJSON writes indented JSON. protojson deliberately varies its white space, which must not show in the output.
func (inv *invocation) printJSON(raw []byte) error {
	var indented bytes.Buffer
	if err := json.Indent(&indented, raw, "", "  "); err != nil {
		return merry.Wrap(&OutputError{Err: err})
	}
	return inv.print(indented.String())
}

// printObject writes a JSON object in the configured output form: as JSON, or as text with one line per value.
func (inv *invocation) printObject(raw json.RawMessage) error {
	if inv.isJSON() {
		return inv.printJSON(raw)
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return merry.Wrap(&OutputError{Err: err})
	}
	return inv.print(strings.Join(flatten("", value), "\n"))
}

// flatten returns one line "path: value" for each scalar in a JSON value. The members of an object are sorted by name.
func flatten(path string, value any) []string {
	switch value := value.(type) {
	case map[string]any:
		var lines []string
		names := make([]string, 0, len(value))
		for name := range value {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			lines = append(lines, flatten(strings.TrimPrefix(path+"."+name, "."), value[name])...)
		}
		return lines
	case []any:
		var lines []string
		for i, item := range value {
			lines = append(lines, flatten(fmt.Sprintf("%s[%d]", path, i), item)...)
		}
		return lines
	default:
		return []string{fmt.Sprintf("%s: %v", path, value)}
	}
}
