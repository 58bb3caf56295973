package conf

import "trefoildale.example/trefoildale/pkg/spec"

// Duration is a time.Duration that is encoded as text, for example "1m30s".
type Duration = spec.Duration
