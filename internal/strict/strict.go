// Package strict decodes YAML into plain structs and reports every error with its
// position: unknown and repeated fields, wrong types, values that do not parse.
// It does not stop at the first error.
package strict

import (
	"encoding"
	"errors"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Position is a position in a file, both counted from 1.
type Position struct {
	Line   int
	Column int
}

// Finding is an error at a position in the file. Path locates the value, for
// example "models[3].memory-mib".
type Finding struct {
	Position
	Path string
	Text string
}

// Positions maps the path of each value of a decoded document to its position.
type Positions map[string]Position

// Of returns the position of the value at path, or of the innermost enclosing value
// if there is none at path.
func (p Positions) Of(path string) Position {
	for {
		if at, ok := p[path]; ok {
			return at
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return p[""]
		}
		path = path[:cut]
	}
}

// maxDepth limits the nesting of values. It is well above the depth of any schema
// of this project; the YAML parser's own limit is 10,000.
const maxDepth = 32

// Decode decodes data into out, a pointer to a struct.
func Decode(data []byte, out any) (Positions, []Finding) {
	d := decoder{positions: Positions{"": {Line: 1, Column: 1}}}
	var doc yaml.Node
	yamlDecoder := yaml.NewDecoder(strings.NewReader(string(data)))
	if err := yamlDecoder.Decode(&doc); err != nil {
		if errors.Is(err, io.EOF) {
			d.add(Position{Line: 1, Column: 1}, "", "the file is empty")
			return d.positions, d.findings
		}
		d.syntax(err)
		return d.positions, d.findings
	}
	if doc.Kind == yaml.DocumentNode && len(doc.Content) == 1 {
		d.value(doc.Content[0], "", reflect.ValueOf(out).Elem(), 0)
	}
	var more yaml.Node
	if err := yamlDecoder.Decode(&more); err == nil {
		d.add(Position{Line: max(more.Line, 1), Column: max(more.Column, 1)}, "", "more than one document")
	} else if !errors.Is(err, io.EOF) {
		d.syntax(err)
	}
	return d.positions, d.findings
}

type decoder struct {
	positions Positions
	findings  []Finding
}

func (d *decoder) add(at Position, path, text string) {
	d.findings = append(d.findings, Finding{Position: at, Path: path, Text: text})
}

var linePattern = regexp.MustCompile(`line (\d+): `)

// syntax adds a syntax error of the parser, which gives a line but no column.
func (d *decoder) syntax(err error) {
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	at := Position{Line: 1, Column: 1}
	if m := linePattern.FindStringSubmatch(text); m != nil {
		if n, err := strconv.Atoi(m[1]); err == nil {
			at.Line = n
		}
		text = strings.Replace(text, m[0], "", 1)
		if strings.HasPrefix(text, "did not find expected") {
			// The library counts the lines of these errors from 0.
			at.Line++
		}
	}
	d.add(at, "", text)
}

var textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()

func (d *decoder) value(n *yaml.Node, path string, out reflect.Value, depth int) {
	at := Position{Line: n.Line, Column: n.Column}
	d.positions[path] = at
	if depth > maxDepth {
		d.add(at, path, "nested too deeply")
		return
	}
	if n.Kind == yaml.AliasNode {
		// A few bytes of nested aliases can expand to gigabytes.
		d.add(at, path, "aliases are not supported")
		return
	}
	if reflect.PointerTo(out.Type()).Implements(textUnmarshalerType) {
		if !d.scalar(n, path, "text") {
			return
		}
		if err := out.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(n.Value)); err != nil {
			d.add(at, path, err.Error())
		}
		return
	}
	switch out.Kind() {
	case reflect.Struct:
		d.mapping(n, path, out, depth)
	case reflect.Slice:
		d.sequence(n, path, out, depth)
	case reflect.String:
		if d.scalar(n, path, "text") {
			out.SetString(n.Value)
		}
	case reflect.Bool, reflect.Int, reflect.Int64, reflect.Float64:
		want := map[reflect.Kind]string{
			reflect.Bool:    "true or false",
			reflect.Int:     "a whole number",
			reflect.Int64:   "a whole number",
			reflect.Float64: "a number",
		}[out.Kind()]
		if !d.scalar(n, path, want) {
			return
		}
		tag := n.ShortTag()
		ok := tag == "!!int" || tag == "!!float" && out.Kind() == reflect.Float64
		if out.Kind() == reflect.Bool {
			ok = tag == "!!bool"
		}
		if !ok || n.Decode(out.Addr().Interface()) != nil {
			d.add(at, path, fmt.Sprintf("want %s, got %q", want, n.Value))
		}
	default:
		panic("strict: type " + out.Type().String() + " is not supported")
	}
}

func (d *decoder) scalar(n *yaml.Node, path, want string) bool {
	if n.Kind == yaml.ScalarNode && n.ShortTag() != "!!null" {
		return true
	}
	d.add(Position{Line: n.Line, Column: n.Column}, path, "want "+want+", got "+kindOf(n))
	return false
}

func kindOf(n *yaml.Node) string {
	switch {
	case n.Kind == yaml.MappingNode:
		return "a mapping"
	case n.Kind == yaml.SequenceNode:
		return "a list"
	case n.ShortTag() == "!!null":
		return "nothing"
	}
	return strconv.Quote(n.Value)
}

func (d *decoder) mapping(n *yaml.Node, path string, out reflect.Value, depth int) {
	if n.Kind != yaml.MappingNode {
		if n.ShortTag() != "!!null" {
			d.add(Position{Line: n.Line, Column: n.Column}, path, "want a mapping, got "+kindOf(n))
		}
		return
	}
	fieldIndex := fieldIndexes(out.Type())
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, val := n.Content[i], n.Content[i+1]
		at := Position{Line: key.Line, Column: key.Column}
		if key.Kind != yaml.ScalarNode {
			d.add(at, path, "want the name of a field, got "+kindOf(key))
			continue
		}
		name := key.Value
		sub := name
		if path != "" {
			sub = path + "." + name
		}
		index, known := fieldIndex[name]
		switch {
		case !known:
			d.add(at, path, fmt.Sprintf("unknown field %q%s", name, suggest(name, fieldIndex)))
		case seen[name]:
			d.add(at, path, fmt.Sprintf("field %q is given twice", name))
		default:
			d.value(val, sub, out.Field(index), depth+1)
		}
		seen[name] = true
	}
}

func (d *decoder) sequence(n *yaml.Node, path string, out reflect.Value, depth int) {
	if n.Kind != yaml.SequenceNode {
		if n.ShortTag() != "!!null" {
			d.add(Position{Line: n.Line, Column: n.Column}, path, "want a list, got "+kindOf(n))
		}
		return
	}
	// An empty list is decoded as a non-nil slice, because some schemas distinguish
	// it from an absent list.
	out.Set(reflect.MakeSlice(out.Type(), len(n.Content), len(n.Content)))
	for i, item := range n.Content {
		d.value(item, path+"["+strconv.Itoa(i)+"]", out.Index(i), depth+1)
	}
}

func fieldIndexes(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

// suggest returns a hint with the known fields whose names resemble name, or an
// empty string.
func suggest(name string, fields map[string]int) string {
	var similar []string
	for f := range fields {
		if strings.HasPrefix(f, name) || strings.HasPrefix(name, f) || strings.ReplaceAll(f, "-", "") == strings.NewReplacer("-", "", "_", "").Replace(strings.ToLower(name)) {
			similar = append(similar, f)
		}
	}
	if len(similar) == 0 {
		return ""
	}
	slices.Sort(similar)
	return ", did you mean " + strings.Join(similar, " or ") + "?"
}
