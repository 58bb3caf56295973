package conf

// Shutdown holds the settings for stopping the process.
type Shutdown struct {
	// Drain is the longest wait for running requests after SIGTERM. With zero, the
	// default, the process waits for all of them, so that a planned stop does not
	// interrupt any request.
	Drain Duration `yaml:"drain"`
}

func (s *Shutdown) check(c *checker) {
	if s.Drain < 0 {
		c.add("drain", "is below zero")
	}
}
