// Package conf reads the settings of the entry process. Each section has a file
// with its defaults beside its checks.
package conf

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"trefoildale.example/trefoildale/internal/strict"
)

// Settings are the settings of one entry process. They are read once.
type Settings struct {
	Node     Node     `yaml:"node"`
	Listen   Listen   `yaml:"listen"`
	Platform Platform `yaml:"platform"`
	Peers    Peers    `yaml:"peers"`
	Limits   Limits   `yaml:"limits"`
	Shutdown Shutdown `yaml:"shutdown"`
	Log      Log      `yaml:"log"`
}

// Findings are all reasons why settings are not accepted, with their places.
type Findings []string

// Error implements error.
func (f Findings) Error() string { return strings.Join(f, "\n") }

// Load reads the settings from a file.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Decode(file, data)
}

// section is a part of the settings that checks itself.
type section struct {
	path string
	part interface{ check(*checker) }
}

// Decode reads settings from YAML, fills in the defaults and checks them. The
// error is of type Findings; name stands for the file in it.
func Decode(name string, data []byte) (*Settings, error) {
	s := new(Settings)
	err := decode(name, data, s, []section{
		{path: "node", part: &s.Node},
		{path: "listen", part: &s.Listen},
		{path: "platform", part: &s.Platform},
		{path: "peers", part: &s.Peers},
		{path: "limits", part: &s.Limits},
		{path: "shutdown", part: &s.Shutdown},
		{path: "log", part: &s.Log},
	})
	if err != nil {
		return nil, err
	}
	return s, nil
}

// decode fills out from YAML and checks its sections.
func decode(name string, data []byte, out any, sections []section) error {
	places, found := strict.Decode(data, out)
	broken := map[string]bool{}
	for _, f := range found {
		broken[f.Path] = true
	}
	c := &checker{}
	for _, s := range sections {
		c.path = s.path
		s.part.check(c)
	}
	for _, f := range c.found {
		// A value that did not parse is not reported again as missing.
		if !broken[f.Path] {
			f.Place = places.Of(f.Path)
			found = append(found, f)
		}
	}
	if len(found) == 0 {
		return nil
	}
	slices.SortStableFunc(found, func(a, b strict.Finding) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	var all Findings
	for _, f := range found {
		line := fmt.Sprintf("%s:%d:%d: ", name, f.Line, f.Column)
		if f.Path != "" {
			line += f.Path + ": "
		}
		all = append(all, line+f.Text)
	}
	return all
}

// checker collects findings.
type checker struct {
	path  string
	found []strict.Finding
}

func (c *checker) add(field, format string, args ...any) {
	c.found = append(c.found, strict.Finding{Path: c.path + "." + field, Text: fmt.Sprintf(format, args...)})
}
