package spec

// Defaults of a workspace.
const (
	DefaultWeight = 1.0
	DefaultClass  = ClassNormal
)

// maxTokens is small enough that a float64 represents sums of tokens exactly.
const maxTokens = 1 << 50

func (w *Workspace) setDefaults() {
	if w.Weight == 0 {
		w.Weight = DefaultWeight
	}
	if w.Class == "" {
		w.Class = DefaultClass
	}
}

// Valid reports whether c is one of the classes.
func (c Class) Valid() bool {
	return c == ClassInteractive || c == ClassNormal || c == ClassDeferrable
}

func (k *checker) workspaces() {
	seen := make(map[string]bool, len(k.c.Workspaces))
	for i, w := range k.c.Workspaces {
		w.setDefaults()
		s := k.scope("workspaces", i, KindOfWorkspace, w.Name)
		s.name("name", w.Name)
		unique(s, "name", seen, w.Name)
		switch {
		case !finite(w.RateTokensPerSecond):
			s.add("rate-tokens-per-second", "is not a finite number")
		case w.RateTokensPerSecond < 0:
			s.add("rate-tokens-per-second", "is below zero")
		case w.RateTokensPerSecond > maxTokens:
			s.add("rate-tokens-per-second", "is above %d", int64(maxTokens))
		}
		switch {
		case w.BurstTokens < 0:
			s.add("burst-tokens", "is below zero")
		case w.BurstTokens > maxTokens:
			s.add("burst-tokens", "is above %d", int64(maxTokens))
		case w.BurstTokens == 0 && w.RateTokensPerSecond > 0:
			s.add("burst-tokens", "is zero, so that no request could be admitted")
		}
		if !finite(w.Weight) || w.Weight <= 0 {
			s.add("weight", "is not above zero")
		}
		if !w.Class.Valid() {
			s.add("class", "%q is none of interactive, normal and deferrable", string(w.Class))
		}
	}
}
