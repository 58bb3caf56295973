package spec

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Finding is one reason why a configuration or change is not accepted. File,
// Line and Column are set if the configuration was read from a file.
type Finding struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
	// Path locates the value, for example "models[3].memory-mib".
	Path string `json:"path,omitempty"`
	// Item is the item that contains the value, for example "model llama-8b".
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

// Findings lists all reasons why a configuration or change is not accepted.
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

// scope records findings about one item. Paths and texts are formatted only for
// an actual finding, because a check visits thousands of items.
type scope struct {
	all     *Findings
	section string
	// index is the position of the item in its section, or -1 if the section is
	// not a list.
	index int
	item  Ref
	// sub is the path of a list element within the item.
	sub string
}

func (k *checker) scope(section string, index int, kind Kind, name string) scope {
	return scope{all: &k.findings, section: section, index: index, item: Ref{Kind: kind, Name: name}}
}

func (s scope) add(field, format string, args ...any) {
	path := s.section
	if s.index >= 0 {
		path += "[" + strconv.Itoa(s.index) + "]"
	}
	path += s.sub
	if field != "" {
		path += "." + field
	}
	*s.all = append(*s.all, Finding{Path: path, Item: s.item.String(), Text: fmt.Sprintf(format, args...)})
}
