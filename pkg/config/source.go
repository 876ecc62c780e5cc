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
	// MaxFileBytes limits the size of a file and so the memory for a submission. A base file with 1,000 services has about
	// 300 KiB.
	MaxFileBytes = 1 << 20
	// maxDepth limits the recursion depth of the parser. Files that follow the schema nest up to 7 levels deep.
	maxDepth = 20
	// maxKeys limits the number of fields of a mapping, because the time of the parser grows with its square.
	maxKeys = 1000
)

// SourceFile is a base file or an overlay.
type SourceFile struct {
	// Name is the file name to show in problems. No file of this name is opened.
	Name string
	// Content is the YAML text of the file.
	Content []byte
}

// SubmissionFiles returns the files of a submission.
func SubmissionFiles(submission *schemav1.Submission) (base SourceFile, overlays []SourceFile) {
	for _, file := range submission.GetOverlays() {
		overlays = append(overlays, SourceFile{Name: file.GetName(), Content: file.GetContent()})
	}
	return SourceFile{Name: submission.GetBase().GetName(), Content: submission.GetBase().GetContent()}, overlays
}

// parse returns the root of the only YAML document of the file. It returns nil if the file is refused or empty, which it
// reports.
func parse(file SourceFile, fileIndex int, problems *report) ast.Node {
	start := position{file: file.Name, fileIndex: fileIndex, line: 1, column: 1}
	if len(file.Content) > MaxFileBytes {
		problems.add(start, RuleFileSize, "split the file", "the file has %d bytes; the limit is %d", len(file.Content), MaxFileBytes)
		return nil
	}
	if !utf8.Valid(file.Content) {
		problems.add(start, RuleSyntax, "save the file as UTF-8", "the file is not UTF-8 text")
		return nil
	}
	defer func() {
		// The parser is third-party code that reads untrusted text. If it panics, the file is refused.
		if recover() != nil {
			problems.add(start, RuleSyntax, "check the YAML syntax", "the file can't be parsed as YAML")
		}
	}()
	// Some editors write a byte order mark, or carriage returns before line feeds.
	text := strings.ReplaceAll(strings.TrimPrefix(string(file.Content), "\ufeff"), "\r\n", "\n")
	tokens := lexer.Tokenize(text)
	if !scanTokens(tokens, start, problems) {
		return nil
	}
	tree, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		reportSyntaxError(err, start, problems)
		return nil
	}
	return singleDocument(tree, start, problems)
}

func singleDocument(tree *ast.File, start position, problems *report) ast.Node {
	var root ast.Node
	for _, document := range tree.Docs {
		if document.Body == nil || document.Body.Type() == ast.CommentType {
			continue
		}
		if root != nil {
			problems.add(start.atNode(document.Body), RuleSyntax, "keep one document per file", "the file has more than one YAML document")
			return nil
		}
		root = document.Body
	}
	if root == nil {
		problems.add(start, RuleMissing, "write the file's fields", "the file is empty")
	}
	return root
}

func reportSyntaxError(err error, start position, problems *report) {
	at, message := start, "the file can't be parsed as YAML"
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) {
		at, message = start.atToken(syntax.Token), removeControlCharacters(syntax.Message)
	}
	problems.add(at, RuleSyntax, "check the YAML syntax", "%s", message)
}

// removeControlCharacters cleans messages of the parser, which may quote text of the file.
func removeControlCharacters(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return -1
		}
		return r
	}, text)
}

// atToken returns the position of tok in the file of p, or p if tok has no position.
func (p position) atToken(tok *token.Token) position {
	if tok != nil && tok.Position != nil {
		p.line, p.column = tok.Position.Line, tok.Position.Column
	}
	return p
}

// atNode returns the position of node in the file of p. The position of a mapping is that of its first key.
func (p position) atNode(node ast.Node) position {
	if mapping, ok := node.(*ast.MappingNode); ok && len(mapping.Values) > 0 {
		node = mapping.Values[0].Key
	}
	if node == nil {
		return p
	}
	return p.atToken(node.GetToken())
}

// nestingTracker computes the nesting depth of a token stream without recursion. It runs before the parser, which recurses
// once per level.
type nestingTracker struct {
	// flowDepth is the number of open { and [.
	flowDepth int
	// prefixDepth is the number of list dashes, anchors, tags and, inside { or [, explicit keys that follow each other. The
	// parser recurses for each of them until a value or a colon comes.
	prefixDepth int
	// blockMappings are the enclosing block mappings, the outermost first.
	blockMappings []blockMapping
}

// blockMapping is a mapping in block style, whose keys are all in the same column. keys is their number so far.
type blockMapping struct{ column, keys int }

func (n *nestingTracker) addToken(tok *token.Token) {
	switch tok.Type {
	case token.MappingStartType, token.SequenceStartType:
		n.flowDepth++
	case token.MappingEndType, token.SequenceEndType:
		n.flowDepth = max(0, n.flowDepth-1)
	case token.SequenceEntryType:
		n.prefixDepth++
		n.closeMappings(tok.Position.Column)
	case token.MappingKeyType:
		if n.flowDepth > 0 {
			n.prefixDepth++
		}
		n.addKey(tok.Position.Column)
	case token.AnchorType, token.TagType:
		n.prefixDepth++
	case token.MappingValueType:
		n.prefixDepth = 0
		if tok.Prev != nil {
			n.addKey(tok.Prev.Position.Column)
		}
	default:
		n.prefixDepth = 0
	}
}

// closeMappings ends the block mappings whose keys are to the right of column.
func (n *nestingTracker) closeMappings(column int) {
	for len(n.blockMappings) > 0 && n.blockMappings[len(n.blockMappings)-1].column > column {
		n.blockMappings = n.blockMappings[:len(n.blockMappings)-1]
	}
}

// addKey counts a key of a block mapping, and starts a new mapping if the column is to the right of the innermost one.
func (n *nestingTracker) addKey(column int) {
	if n.flowDepth > 0 {
		return
	}
	n.closeMappings(column)
	if len(n.blockMappings) == 0 || n.blockMappings[len(n.blockMappings)-1].column < column {
		n.blockMappings = append(n.blockMappings, blockMapping{column: column})
	}
	n.blockMappings[len(n.blockMappings)-1].keys++
}

func (n *nestingTracker) depth() int { return n.flowDepth + n.prefixDepth + len(n.blockMappings) }

func (n *nestingTracker) hasTooManyKeys() bool {
	return len(n.blockMappings) > 0 && n.blockMappings[len(n.blockMappings)-1].keys > maxKeys
}

// scanTokens reports YAML features that are not allowed in the files. It returns false if the file must not be parsed,
// because it nests too deeply or has a mapping with too many fields.
func scanTokens(tokens token.Tokens, start position, problems *report) bool {
	var tracker nestingTracker
	for _, tok := range tokens {
		tracker.addToken(tok)
		if tracker.depth() > maxDepth {
			problems.add(start.atToken(tok), RuleNesting, "use the fields of the schema only", "the file nests deeper than %d levels", maxDepth)
			return false
		}
		if tracker.hasTooManyKeys() {
			problems.add(start.atToken(tok), RuleFileSize, "use the fields of the schema only", "a mapping has more than %d fields", maxKeys)
			return false
		}
		if feature := unsupportedFeature(tok.Type); feature != "" {
			problems.add(start.atToken(tok), RuleYAMLFeature, "write the value out in full", "%s are not supported", feature)
		}
	}
	return true
}

func unsupportedFeature(kind token.Type) string {
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
