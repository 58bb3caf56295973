package conf

// Log holds the settings of the log.
type Log struct {
	// Verbosity is the klog level. Level 0 logs changes of state; higher levels log
	// more.
	Verbosity int `yaml:"verbosity"`
}

const maxVerbosity = 10

func (l *Log) check(c *checker) {
	if l.Verbosity < 0 || l.Verbosity > maxVerbosity {
		c.add("verbosity", "%d is not between 0 and %d", l.Verbosity, maxVerbosity)
	}
}
