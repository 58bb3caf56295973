package entry

import (
	"context"
	"net/http"
	"testing"
	"time"
)

// TestBackOffEndsWithCaller guards against a call that sleeps through its backoff
// after its caller has left.
func TestBackOffEndsWithCaller(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &plainCall{request: &request{r: (&http.Request{}).WithContext(ctx)}, ctx: context.Background()}
	time.AfterFunc(10*time.Millisecond, cancel)
	began := time.Now()
	c.backOff(time.Minute)
	if took := time.Since(began); took > 10*time.Second {
		t.Errorf("the call went on %v after its caller left", took)
	}
}
