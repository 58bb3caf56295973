package spec

import (
	"bytes"

	"go.yaml.in/yaml/v3"

	"trefoildale.example/trefoildale/internal/strict"
)

// Decode reads a configuration from YAML, fills in the defaults and checks it.
// All findings are reported together, each with its position; name is the file
// name used in them. The configuration is nil if there are findings.
func Decode(name string, data []byte) (*Config, Findings) {
	c := new(Config)
	positions, raw := strict.Decode(data, c)
	var findings Findings
	for _, r := range raw {
		findings = append(findings, Finding{File: name, Line: r.Line, Column: r.Column, Path: r.Path, Text: r.Text})
	}
	unparsed := map[strict.Position]bool{}
	for _, r := range raw {
		unparsed[r.Position] = true
	}
	for _, f := range c.Check() {
		at := positions.Of(f.Path)
		if unparsed[at] {
			// The value did not parse, so its zero value is not reported again.
			continue
		}
		f.File, f.Line, f.Column = name, at.Line, at.Column
		findings = append(findings, f)
	}
	if len(findings) > 0 {
		findings.sort()
		return nil, findings
	}
	c.setDefaults()
	return c, nil
}

// Encode writes the configuration as YAML that Decode accepts.
func (c *Config) Encode() ([]byte, error) {
	var b bytes.Buffer
	e := yaml.NewEncoder(&b)
	e.SetIndent(2)
	if err := e.Encode(c); err != nil {
		return nil, err
	}
	if err := e.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}
