package spec

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Finding is one reason why a configuration is not accepted. File, Line and
// Column are set when it was read from a file.
type Finding struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
	// Path names the value, for example "models[3].memory-mib".
	Path string `json:"path,omitempty"`
	// Item names the item that the value is part of, for example "model llama-8b".
	Item string `json:"item,omitempty"`
	Text string `json:"text"`
}

// String implements fmt.Stringer.
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		fmt.Fprintf(&b, "%s:%d:%d: ", f.File, f.Line, f.Column)
	}
	switch {
	case f.Item != "":
		b.WriteString(f.Item + ": ")
		if dot := strings.IndexByte(f.Path, '.'); dot >= 0 {
			b.WriteString(f.Path[dot+1:] + ": ")
		}
	case f.Path != "":
		b.WriteString(f.Path + ": ")
	}
	b.WriteString(f.Text)
	return b.String()
}

// Findings are all the reasons together.
type Findings []Finding

// Error implements error.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, or nil when there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

func (f Findings) sort() {
	slices.SortStableFunc(f, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}

// scope adds findings about one item. Its texts are made only when there is a
// finding: a check looks at thousands of items.
type scope struct {
	all     *Findings
	section string
	// i is the place of the item in its section, -1 where the section is no list.
	i    int
	item Ref
	// sub is the path within the item, for lists in items.
	sub string
}

func (k *checker) scope(section string, i int, kind Kind, name string) scope {
	return scope{all: &k.findings, section: section, i: i, item: Ref{Kind: kind, Name: name}}
}

func (s scope) add(field, format string, args ...any) {
	path := s.section
	if s.i >= 0 {
		path += "[" + strconv.Itoa(s.i) + "]"
	}
	path += s.sub
	if field != "" {
		path += "." + field
	}
	*s.all = append(*s.all, Finding{Path: path, Item: s.item.String(), Text: fmt.Sprintf(format, args...)})
}
