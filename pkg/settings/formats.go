package settings

import (
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
	"unicode"

	"almondrock.example/almondrock/pkg/internal/names"
)

// Formats of text settings, as in the schema.
const (
	formatAddress     = "address"
	formatPeerAddress = "peer-address"
	formatAddresses   = "addresses"
	formatMembers     = "members"
	formatDuration    = "duration"
	formatName        = "name"
	formatNames       = "names"
	formatDirectory   = "directory"
	formatFile        = "file"
	formatFiles       = "files"
)

// Member is a host of the control group.
type Member struct {
	Name string
	// Address is IP:PORT.
	Address string
}

// ParseMembers splits a value of format members. It returns nil for a value that Read refuses.
func ParseMembers(value string) []Member {
	var members []Member
	for _, item := range SplitList(value) {
		name, address, ok := strings.Cut(item, "=")
		if !ok || !names.Valid(name) || checkPeerAddress(address) != "" {
			return nil
		}
		members = append(members, Member{Name: name, Address: address})
	}
	return members
}

// SplitList splits a comma-separated value; an empty value has no items.
func SplitList(value string) []string {
	if value == "" {
		return nil
	}
	return strings.Split(value, ",")
}

// checkFormat returns what is expected instead of value, or "".
func checkFormat(format, value string) string {
	switch format {
	case formatAddress:
		return checkAddress(value)
	case formatPeerAddress:
		return checkPeerAddress(value)
	case formatAddresses:
		return checkEach(value, checkPeerAddress)
	case formatMembers:
		return checkMembers(value)
	case formatDuration:
		return checkDuration(value)
	case formatName:
		return checkName(value)
	case formatNames:
		return checkEach(value, checkName)
	case formatDirectory:
		return checkDirectory(value)
	case formatFile:
		return checkFile(value)
	case formatFiles:
		return checkEach(value, checkFile)
	case "":
		return checkPlain(value)
	default:
		return checkWord(value, strings.Split(format, "|"))
	}
}

func checkAddress(value string) string {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return "IP:PORT such as 127.0.0.1:8080, without a host name"
	}
	return ""
}

func checkPeerAddress(value string) string {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
		return "IP:PORT that other processes can reach, such as 10.0.0.5:8082, without a host name"
	}
	return ""
}

func checkEach(value string, check func(string) string) string {
	items := SplitList(value)
	for i, item := range items {
		if slices.Contains(items[:i], item) {
			return "a comma-separated list without repeats"
		}
		if expected := check(item); expected != "" {
			return "a comma-separated list; each item " + expected
		}
	}
	return ""
}

func checkMembers(value string) string {
	members := ParseMembers(value)
	if members == nil {
		return "a comma-separated list of NAME=IP:PORT such as host-1=10.0.0.5:8082"
	}
	for i, member := range members {
		for _, earlier := range members[:i] {
			if member.Name == earlier.Name || member.Address == earlier.Address {
				return "NAME=IP:PORT with each name and each address once"
			}
		}
	}
	return ""
}

func checkDuration(value string) string {
	if duration, err := time.ParseDuration(value); err != nil || duration <= 0 {
		return "a positive duration such as 500ms or 10s"
	}
	return ""
}

func checkName(value string) string {
	if !names.Valid(value) {
		return names.Rule
	}
	return ""
}

// checkDirectory accepts a directory, or one that can be created in an existing one.
func checkDirectory(value string) string {
	info, err := os.Stat(value)
	if err != nil && os.IsNotExist(err) {
		info, err = os.Stat(filepath.Dir(value))
	}
	if err != nil || !info.IsDir() {
		return "a directory, or a new one in an existing directory"
	}
	return ""
}

// checkFile opens the file, since a file without read permission is found only when it is needed otherwise.
func checkFile(value string) string {
	info, err := os.Stat(value)
	if err != nil || !info.Mode().IsRegular() {
		return "an existing file"
	}
	file, err := os.Open(value)
	if err != nil {
		return "a file that can be read"
	}
	// Nothing was written, so closing can't lose data.
	_ = file.Close()
	return ""
}

// checkPlain refuses characters that can't stand in a header or a log line.
func checkPlain(value string) string {
	if strings.ContainsFunc(value, unicode.IsControl) {
		return "text without control characters"
	}
	return ""
}

func checkWord(value string, words []string) string {
	if !slices.Contains(words, value) {
		return "one of " + strings.Join(words, ", ")
	}
	return ""
}
