// Package conf reads the settings of the entry process. Each section is defined in
// its own file, with its defaults and its validation.
package conf

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"trefoildale.example/trefoildale/internal/strict"
)

// Settings holds the settings of one entry process. They are read once, when the
// process starts.
type Settings struct {
	Node     Node     `yaml:"node"`
	Listen   Listen   `yaml:"listen"`
	Platform Platform `yaml:"platform"`
	Peers    Peers    `yaml:"peers"`
	Limits   Limits   `yaml:"limits"`
	Shutdown Shutdown `yaml:"shutdown"`
	Log      Log      `yaml:"log"`
}

// Findings lists all reasons why settings are not accepted, with their positions
// in the file.
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

// section is a part of the settings that fills in its defaults and validates
// itself.
type section struct {
	path     string
	settings interface{ check(*checker) }
}

// Decode reads settings from YAML, fills in the defaults and checks them. The
// error is of type Findings; name is the file name used in it.
func Decode(name string, data []byte) (*Settings, error) {
	s := new(Settings)
	err := decode(name, data, s, []section{
		{path: "node", settings: &s.Node},
		{path: "listen", settings: &s.Listen},
		{path: "platform", settings: &s.Platform},
		{path: "peers", settings: &s.Peers},
		{path: "limits", settings: &s.Limits},
		{path: "shutdown", settings: &s.Shutdown},
		{path: "log", settings: &s.Log},
	})
	if err != nil {
		return nil, err
	}
	return s, nil
}

// decode decodes YAML into out and checks the sections.
func decode(name string, data []byte, out any, sections []section) error {
	positions, findings := strict.Decode(data, out)
	unparsed := map[string]bool{}
	for _, f := range findings {
		unparsed[f.Path] = true
	}
	c := &checker{}
	for _, s := range sections {
		c.path = s.path
		s.settings.check(c)
	}
	for _, f := range c.findings {
		// A value that did not parse is not also reported as missing.
		if !unparsed[f.Path] {
			f.Position = positions.Of(f.Path)
			findings = append(findings, f)
		}
	}
	if len(findings) == 0 {
		return nil
	}
	slices.SortStableFunc(findings, func(a, b strict.Finding) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	var all Findings
	for _, f := range findings {
		line := fmt.Sprintf("%s:%d:%d: ", name, f.Line, f.Column)
		if f.Path != "" {
			line += f.Path + ": "
		}
		all = append(all, line+f.Text)
	}
	return all
}

// checker collects the findings of the sections; path is the section being
// checked.
type checker struct {
	path     string
	findings []strict.Finding
}

func (c *checker) add(field, format string, args ...any) {
	c.findings = append(c.findings, strict.Finding{Path: c.path + "." + field, Text: fmt.Sprintf(format, args...)})
}
