package conf

import "regexp"

// Node says who this process is. The platform sets the values for each VM.
type Node struct {
	Name   string `yaml:"name"`
	Domain string `yaml:"domain"`
	// Capacity is the part of a core that this process may use.
	Capacity float64 `yaml:"capacity"`
}

// DefaultCapacity is a whole core.
const DefaultCapacity = 1

var nameForm = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?$`)

func (n *Node) check(c *checker) {
	fill(&n.Capacity, DefaultCapacity)
	if n.Capacity < 0 {
		c.add("capacity", "is below zero")
	}
	for _, f := range []struct{ field, value string }{{field: "name", value: n.Name}, {field: "domain", value: n.Domain}} {
		switch {
		case f.value == "":
			c.add(f.field, "is missing")
		case !nameForm.MatchString(f.value):
			c.add(f.field, "%q is not in kebab case with at most 64 characters", f.value)
		}
	}
}
