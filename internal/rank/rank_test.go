package rank

import (
	"fmt"
	"testing"
)

// Guards against a hash that reassigns keys between the remaining candidates when
// one is removed, and against a difference between First and Order.
func TestRemovalMovesOnlyItsKeys(t *testing.T) {
	all := []string{"a", "b", "c", "d", "e"}
	rest := []string{"a", "b", "d", "e"}
	for i := range 1000 {
		key := fmt.Sprintf("key-%d", i)
		before, after := First(key, all), First(key, rest)
		if before != "c" && before != after {
			t.Fatalf("%s moved from %s to %s although c was removed", key, before, after)
		}
		if got := Order(key, all)[0]; got != before {
			t.Fatalf("%s: Order starts with %s, First gives %s", key, got, before)
		}
	}
}
