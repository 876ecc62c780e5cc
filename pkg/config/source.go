package config

import (
	"errors"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// MaxFileBytes bounds the memory that a submission takes; a base file with 1,000 services has about 300 KiB.
	MaxFileBytes = 1 << 20
	// maxDepth bounds the recursion of the parser. The schema itself needs 7 levels.
	maxDepth = 20
	// maxKeys bounds the fields of one mapping, because the parser's time grows with their square.
	maxKeys = 1000
)

// SourceFile is one of the operators' files.
type SourceFile struct {
	// Name is shown in problems; it is not opened.
	Name string
	// Content is the YAML text.
	Content []byte
}

// SubmissionFiles converts the files of a submission.
func SubmissionFiles(submission *schemav1.Submission) (base SourceFile, overlays []SourceFile) {
	for _, file := range submission.GetOverlays() {
		overlays = append(overlays, SourceFile{Name: file.GetName(), Content: file.GetContent()})
	}
	return SourceFile{Name: submission.GetBase().GetName(), Content: submission.GetBase().GetContent()}, overlays
}

// parse returns the root of the file's only document, or nil when the file is refused or empty.
func parse(file SourceFile, order int, problems *report) ast.Node {
	start := position{file: file.Name, order: order, line: 1, column: 1}
	if len(file.Content) > MaxFileBytes {
		problems.add(start, RuleFileSize, "split the file", "the file has %d bytes; the limit is %d", len(file.Content), MaxFileBytes)
		return nil
	}
	if !utf8.Valid(file.Content) {
		problems.add(start, RuleSyntax, "save the file as UTF-8", "the file is not UTF-8 text")
		return nil
	}
	defer func() {
		// The parser is third-party code that reads text from outside; a panic in it refuses the file.
		if recover() != nil {
			problems.add(start, RuleSyntax, "check the YAML syntax", "the file can't be parsed as YAML")
		}
	}()
	// Some editors write a byte order mark and carriage returns.
	text := strings.ReplaceAll(strings.TrimPrefix(string(file.Content), "\ufeff"), "\r\n", "\n")
	tokens := lexer.Tokenize(text)
	if !scanTokens(tokens, start, problems) {
		return nil
	}
	tree, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		reportSyntax(err, start, problems)
		return nil
	}
	return onlyDocument(tree, start, problems)
}

func onlyDocument(tree *ast.File, start position, problems *report) ast.Node {
	var root ast.Node
	for _, document := range tree.Docs {
		if document.Body == nil || document.Body.Type() == ast.CommentType {
			continue
		}
		if root != nil {
			problems.add(start.ofNode(document.Body), RuleSyntax, "keep one document per file", "the file has more than one YAML document")
			return nil
		}
		root = document.Body
	}
	if root == nil {
		problems.add(start, RuleMissing, "write the file's fields", "the file is empty")
	}
	return root
}

func reportSyntax(err error, start position, problems *report) {
	at, message := start, "the file can't be parsed as YAML"
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) {
		at, message = start.of(syntax.Token), printable(syntax.Message)
	}
	problems.add(at, RuleSyntax, "check the YAML syntax", "%s", message)
}

// printable removes control characters, since the parser's messages may repeat text of the file.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return -1
		}
		return r
	}, text)
}

// of returns the place of tok in the file of p.
func (p position) of(tok *token.Token) position {
	if tok != nil && tok.Position != nil {
		p.line, p.column = tok.Position.Line, tok.Position.Column
	}
	return p
}

// ofNode returns the place of node, of a mapping that of its first key.
func (p position) ofNode(node ast.Node) position {
	if mapping, ok := node.(*ast.MappingNode); ok && len(mapping.Values) > 0 {
		node = mapping.Values[0].Key
	}
	if node == nil {
		return p
	}
	return p.of(node.GetToken())
}

// nesting follows the depth of a token stream without recursion, since the parser recurses once per level.
type nesting struct {
	flow int
	run  int
	// block has the enclosing block mappings.
	block []blockMapping
}

// blockMapping is a mapping whose keys stand in the same column.
type blockMapping struct{ column, keys int }

func (n *nesting) add(tok *token.Token) {
	switch tok.Type {
	case token.MappingStartType, token.SequenceStartType:
		n.flow++
	case token.MappingEndType, token.SequenceEndType:
		n.flow = max(0, n.flow-1)
	case token.SequenceEntryType:
		n.run++
		n.leave(tok.Position.Column)
	case token.MappingKeyType:
		if n.flow > 0 {
			n.run++
		}
		n.addKey(tok.Position.Column)
	case token.AnchorType, token.TagType:
		n.run++
	case token.MappingValueType:
		n.run = 0
		if tok.Prev != nil {
			n.addKey(tok.Prev.Position.Column)
		}
	default:
		n.run = 0
	}
}

// leave ends the block mappings that stand to the right of column.
func (n *nesting) leave(column int) {
	for len(n.block) > 0 && n.block[len(n.block)-1].column > column {
		n.block = n.block[:len(n.block)-1]
	}
}

// addKey notes a key of a block mapping.
func (n *nesting) addKey(column int) {
	if n.flow > 0 {
		return
	}
	n.leave(column)
	if len(n.block) == 0 || n.block[len(n.block)-1].column < column {
		n.block = append(n.block, blockMapping{column: column})
	}
	n.block[len(n.block)-1].keys++
}

func (n *nesting) depth() int { return n.flow + n.run + len(n.block) }

func (n *nesting) hasTooManyKeys() bool {
	return len(n.block) > 0 && n.block[len(n.block)-1].keys > maxKeys
}

// scanTokens reports YAML features that the files may not use. It is false when parsing could recurse too deeply.
func scanTokens(tokens token.Tokens, start position, problems *report) bool {
	var depth nesting
	for _, tok := range tokens {
		depth.add(tok)
		if depth.depth() > maxDepth {
			problems.add(start.of(tok), RuleNesting, "use the fields of the schema only", "the file nests deeper than %d levels", maxDepth)
			return false
		}
		if depth.hasTooManyKeys() {
			problems.add(start.of(tok), RuleFileSize, "use the fields of the schema only", "a mapping has more than %d fields", maxKeys)
			return false
		}
		if feature := refusedFeature(tok.Type); feature != "" {
			problems.add(start.of(tok), RuleYAMLFeature, "write the value out in full", "%s are not supported", feature)
		}
	}
	return true
}

func refusedFeature(kind token.Type) string {
	switch kind {
	case token.AnchorType:
		return "anchors"
	case token.AliasType:
		return "aliases"
	case token.MergeKeyType:
		return "merge keys"
	case token.TagType:
		return "tags"
	case token.DirectiveType:
		return "directives"
	default:
		return ""
	}
}
