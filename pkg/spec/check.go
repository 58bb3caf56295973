package spec

import "math"

// Check returns everything that is wrong with the configuration. Fields with
// their zero value count as having their default.
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

// checker holds what the sections need to know of each other. Each map is built
// once, so that the whole check is linear in the number of items.
type checker struct {
	c        *Config
	findings Findings
	index    *Index
	// room is the memory of the largest endpoint of each service.
	room map[string]int64
}

func newChecker(c *Config) *checker {
	k := &checker{c: c, index: c.Index(), room: make(map[string]int64, len(c.Services))}
	for i := range c.Endpoints {
		e := &c.Endpoints[i]
		if had, ok := k.room[e.Service]; !ok || e.MemoryMiB > had {
			k.room[e.Service] = e.MemoryMiB
		}
	}
	return k
}

// Names are kebab case; dots are allowed because the names of models have
// version numbers in them.
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

// unique adds a finding when an earlier item has the name.
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

func (c *Config) fill() {
	for i := range c.Endpoints {
		c.Endpoints[i].fill()
	}
	for i := range c.Models {
		c.Models[i].fill()
	}
	for i := range c.Workspaces {
		c.Workspaces[i].fill()
	}
	c.Limits.fill()
}

// New returns the configuration of revision 0: no items and default limits.
func New() *Config {
	c := new(Config)
	c.fill()
	return c
}
