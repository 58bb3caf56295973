package conf

import (
	"fmt"
	"strconv"
	"time"

	"trefoildale.example/trefoildale/pkg/spec"
)

// Duration is a time.Duration that is encoded as text, for example "1m30s".
type Duration = spec.Duration

// Milliseconds is a time.Duration that is encoded as a number of milliseconds, as the
// platform fills it in. Empty text is zero, since the platform leaves out what it lacks.
type Milliseconds time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (m *Milliseconds) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*m = 0
		return nil
	}
	ms, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !(ms >= 0 && ms <= maxMilliseconds) {
		return fmt.Errorf("%q is not a number of milliseconds from 0 to %d", text, maxMilliseconds)
	}
	*m = Milliseconds(ms * float64(time.Millisecond))
	return nil
}

// maxMilliseconds is a day, far above all settings.
const maxMilliseconds = 24 * 60 * 60 * 1000
