package conf

import "trefoildale.example/trefoildale/pkg/spec"

// Duration is written as text, for example "1m30s".
type Duration = spec.Duration
