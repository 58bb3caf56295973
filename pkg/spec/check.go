package spec

import "math"

// Check returns all errors in the configuration. A field with its zero value is
// checked as if it had its default.
func (c *Config) Check() Findings {
	k := newChecker(c)
	k.domains()
	k.services()
	k.endpoints()
	k.models()
	k.adapters()
	k.workspaces()
	k.keys()
	k.limits()
	return k.findings
}

// checker holds the data that the checks of the sections share. Each map is
// built once, so that the whole check is linear in the number of items.
type checker struct {
	c        *Config
	findings Findings
	index    *Index
	// maxEndpointMiB is the memory of the largest endpoint of each service.
	maxEndpointMiB map[string]int64
}

func newChecker(c *Config) *checker {
	k := &checker{c: c, index: c.Index(), maxEndpointMiB: make(map[string]int64, len(c.Services))}
	for i := range c.Endpoints {
		e := &c.Endpoints[i]
		if largestMiB, ok := k.maxEndpointMiB[e.Service]; !ok || e.MemoryMiB > largestMiB {
			k.maxEndpointMiB[e.Service] = e.MemoryMiB
		}
	}
	return k
}

// isName reports whether s is in kebab case. Dots are allowed because model
// names contain version numbers.
func isName(s string) bool {
	for i := range len(s) {
		c := s[i]
		inner := (c == '.' || c == '-') && i > 0 && i < len(s)-1
		if !inner && (c < 'a' || c > 'z') && (c < '0' || c > '9') {
			return false
		}
	}
	return true
}

const maxName = 64

func (s scope) name(field, name string) {
	switch {
	case name == "":
		s.add(field, "is missing")
	case len(name) > maxName:
		s.add(field, "is longer than %d characters", maxName)
	case !isName(name):
		s.add(field, "%q is not in kebab case (a-z, 0-9, dots and hyphens)", name)
	}
}

// unique adds a finding if an earlier item has the same name.
func unique(s scope, field string, seen map[string]bool, name string) {
	if name == "" {
		return
	}
	if seen[name] {
		s.add(field, "%q is given twice", name)
	}
	seen[name] = true
}

func finite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }

func (c *Config) setDefaults() {
	for i := range c.Endpoints {
		c.Endpoints[i].setDefaults()
	}
	for i := range c.Models {
		c.Models[i].setDefaults()
	}
	for i := range c.Workspaces {
		c.Workspaces[i].setDefaults()
	}
	c.Limits.setDefaults()
}

// New returns the configuration of revision 0: no items and default limits.
func New() *Config {
	c := new(Config)
	c.setDefaults()
	return c
}
