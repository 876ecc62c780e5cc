package monotonic

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// wallClockUses are the files that may turn the time of day into a number, with the reason. The time of day jumps on some machines, so it
// must not be used for ages, leases and the order of events.
var wallClockUses = map[string]string{
	"pkg/cli/ctl/submit.go":         "time of a submission, shown to operators",
	"pkg/host/admin.go":             "time of a submission, shown to operators",
	"pkg/host/host.go":              "start of a host, shown to operators and compared for equality only",
	"pkg/registrar/timeofday.go":    "compared with starts of targets, which are times of day; a wrong clock delays a registration by 5 s at most",
	"pkg/proxy/idempotency.go":      "identity of a record; its age is an open fault, see recordexpiry.go",
	"pkg/ownership/recordexpiry.go": "open fault: records expire by the time of day",
}

func TestNoArithmeticWithTheTimeOfDay(t *testing.T) {
	root := filepath.Join("..", "..", "..")
	for _, dir := range []string{"pkg", "platform", "cmd"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go") {
				return err
			}
			relative, err := filepath.Rel(root, path)
			if err != nil {
				return err
			}
			if _, ok := wallClockUses[filepath.ToSlash(relative)]; ok {
				return nil
			}
			files := token.NewFileSet()
			parsed, err := parser.ParseFile(files, path, nil, 0)
			if err != nil {
				return err
			}
			ast.Inspect(parsed, func(node ast.Node) bool {
				call, ok := node.(*ast.CallExpr)
				if !ok {
					return true
				}
				if selector, ok := call.Fun.(*ast.SelectorExpr); ok {
					switch selector.Sel.Name {
					case "Unix", "UnixMilli", "UnixMicro", "UnixNano":
						if len(call.Args) == 0 {
							t.Errorf("%s uses the time of day as a number", files.Position(call.Pos()))
						}
					}
				}
				return true
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}
