package config

import (
	"errors"
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// source is the text of a TOML file while it is read, with the places of its keys, their values and its problems.
type source struct {
	file     string
	text     []byte
	lineEnds []int           // offsets of the newline characters
	offsets  map[string]int  // of keys and sections, by their full names
	given    map[string]bool // keys that have a value of their type
	values   map[string]any  // of all keys in the text, as decoded
	problems Problems
}

func newSource(file string, text []byte) *source {
	s := &source{file: file, text: text, offsets: map[string]int{}, given: map[string]bool{}, values: map[string]any{}}
	for offset, character := range text {
		if character == '\n' {
			s.lineEnds = append(s.lineEnds, offset)
		}
	}
	return s
}

// report adds a problem of a key at the place of the key, or at its section if the text does not contain the key.
func (s *source) report(key string, cause error, format string, args ...any) {
	line, column := s.position(s.offsetOf(key))
	s.problems = append(s.problems, Problem{
		File: s.file, Line: line, Column: column,
		Key: key, Reason: fmt.Sprintf(format, args...),
		Value: s.values[key], Err: cause,
	})
}

// offsetOf returns the offset of a key, or that of the innermost enclosing section that the text contains.
func (s *source) offsetOf(key string) int {
	for {
		if offset, ok := s.offsets[key]; ok {
			return offset
		}
		end := strings.LastIndexAny(key, ".[")
		if end < 0 {
			return 0
		}
		key = key[:end]
	}
}

// position converts an offset into a line and a column, both from 1.
func (s *source) position(offset int) (line, column int) {
	line = sort.SearchInts(s.lineEnds, offset)
	lineStart := 0
	if line > 0 {
		lineStart = s.lineEnds[line-1] + 1
	}
	return line + 1, offset - lineStart + 1
}

// reportSyntax replaces all problems by one: the text is not TOML.
func (s *source) reportSyntax(err error) {
	problem := Problem{
		File: s.file, Line: 1, Column: 1,
		Key: syntaxKey, Reason: strings.TrimPrefix(err.Error(), "toml: "),
		Err: fmt.Errorf("%w: %w", ErrSyntax, err),
	}
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		problem.Line, problem.Column = decodeError.Position()
	}
	s.problems = Problems{problem}
}

// dropMissing removes the problem of a missing key if the environment supplied its value.
func (s *source) dropMissing(key, value string) {
	if value == "" || s.given[key] {
		return
	}
	s.problems = slices.DeleteFunc(s.problems, func(problem Problem) bool {
		return problem.Key == key && errors.Is(problem.Err, ErrMissingKey)
	})
}

// locator records the offsets of all keys of a source.
type locator struct {
	offsets  map[string]int
	elements map[string]int // number of elements of each array of tables so far
}

// locateKeys records the offset of each key. The text must be valid TOML.
func (s *source) locateKeys() {
	l := locator{offsets: s.offsets, elements: map[string]int{}}
	var parser unstable.Parser
	parser.Reset(s.text)
	section := ""
	for parser.NextExpression() {
		expression := parser.Expression()
		switch expression.Kind {
		case unstable.Table:
			section = l.locateName("", expression)
		case unstable.ArrayTable:
			section = l.locateElement(expression)
		case unstable.KeyValue:
			l.locateKeyValue(section, expression)
		}
	}
}

// locateName records the offsets of the parts of a dotted key and returns its full name.
func (l *locator) locateName(path string, expression *unstable.Node) string {
	for parts := expression.Key(); parts.Next(); {
		part := parts.Node()
		path = joinKey(path, string(part.Data))
		if count := l.elements[path]; count > 0 && !parts.IsLast() { // a table within the latest element of an array
			path = elementKey(path, count-1)
		}
		l.offsets[path] = int(part.Raw.Offset)
	}
	return path
}

// locateElement records the offset of the next element of an array of tables and returns its full name.
func (l *locator) locateElement(expression *unstable.Node) string {
	array := l.locateName("", expression)
	element := elementKey(array, l.elements[array])
	l.elements[array]++
	l.offsets[element] = l.offsets[array]
	return element
}

func (l *locator) locateKeyValue(section string, expression *unstable.Node) {
	key := l.locateName(section, expression)
	l.locateInline(key, expression.Value())
}

// locateInline records the offsets of the keys of inline tables, those within arrays included.
func (l *locator) locateInline(key string, value *unstable.Node) {
	switch value.Kind {
	case unstable.InlineTable:
		for children := value.Children(); children.Next(); {
			l.locateKeyValue(key, children.Node())
		}
	case unstable.Array:
		index := 0
		for children := value.Children(); children.Next(); index++ {
			element := elementKey(key, index)
			l.offsets[element] = l.offsets[key]
			l.locateInline(element, children.Node())
		}
	}
}

// joinKey returns the full name of a key in a section; the top level of the file has an empty name.
func joinKey(section, name string) string {
	if section == "" {
		return name
	}
	return section + "." + name
}

// elementKey returns the full name of an element of a list.
func elementKey(list string, index int) string { return fmt.Sprintf("%s[%d]", list, index) }
