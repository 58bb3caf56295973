package conf

import "regexp"

// Node identifies this process. The platform sets the values for each VM.
type Node struct {
	Name   string `yaml:"name"`
	Domain string `yaml:"domain"`
	// Capacity is the fraction of a CPU core that this process may use.
	Capacity float64 `yaml:"capacity"`
	// MemoryMB is the memory that this process may use, in MB; 0 means that it is not
	// known.
	MemoryMB float64 `yaml:"memory-mb"`
	// MaxFDs is how many descriptors this process may open; 0 means that only the system's
	// limit counts.
	MaxFDs int `yaml:"max-fds"`
}

// DefaultCapacity is one CPU core.
const DefaultCapacity = 1

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?$`)

func (n *Node) check(c *checker) {
	setDefault(&n.Capacity, DefaultCapacity)
	if n.Capacity < 0 {
		c.add("capacity", "is below zero")
	}
	if n.MemoryMB < 0 {
		c.add("memory-mb", "is below zero")
	}
	if n.MaxFDs < 0 {
		c.add("max-fds", "is below zero")
	}
	for _, f := range []struct{ field, value string }{{field: "name", value: n.Name}, {field: "domain", value: n.Domain}} {
		switch {
		case f.value == "":
			c.add(f.field, "is missing")
		case !namePattern.MatchString(f.value):
			c.add(f.field, "%q is not in kebab case with at most 64 characters", f.value)
		}
	}
}
