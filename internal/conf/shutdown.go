package conf

// Shutdown says how the process stops.
type Shutdown struct {
	// Drain bounds the wait for running requests after SIGTERM. Zero, the
	// default, waits for all of them: a planned stop interrupts no request.
	Drain Duration `yaml:"drain"`
}

func (s *Shutdown) check(c *checker) {
	if s.Drain < 0 {
		c.add("drain", "is below zero")
	}
}
