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

func (t *tool) print(text string) error {
	if _, err := fmt.Fprintln(t.Out, strings.TrimRight(text, "\n")); err != nil {
		return merry.Wrap(&OutputError{Err: err})
	}
	return nil
}

// printMessage writes message as JSON, or its text form.
func (t *tool) printMessage(message proto.Message, text string) error {
	if !t.isJSON() {
		return t.print(text)
	}
	encoded, err := protojson.Marshal(message)
	if err != nil {
		return merry.Wrap(&OutputError{Err: err})
	}
	return t.printJSON(encoded)
}

// printJSON writes JSON with stable spaces; protojson varies them on purpose.
func (t *tool) printJSON(raw []byte) error {
	var indented bytes.Buffer
	if err := json.Indent(&indented, raw, "", "  "); err != nil {
		return merry.Wrap(&OutputError{Err: err})
	}
	return t.print(indented.String())
}

// printObject writes a JSON object as it is, or with one line per value.
func (t *tool) printObject(raw json.RawMessage) error {
	if t.isJSON() {
		return t.printJSON(raw)
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return merry.Wrap(&OutputError{Err: err})
	}
	return t.print(strings.Join(flatten("", value), "\n"))
}

// flatten lists the values of a JSON value as path: value, sorted by path.
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
