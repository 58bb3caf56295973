package serve

import (
	"io"
	"testing"
	"time"
)

// panickingCaller panics when it gets an event with the given text.
type panickingCaller struct {
	fakeCaller

	text string
}

func (c *panickingCaller) Event(data []byte) error {
	if string(data) == c.text {
		panic("fault")
	}
	return c.fakeCaller.Event(data)
}

// TestPanicWithinStream guards against a request that hangs because its handler has panicked
// while it forwarded an event or a comment of a resumable stream.
func TestPanicWithinStream(t *testing.T) {
	const comment = ": wait\n\n"
	event := eventsFrom("", 1)
	for _, tc := range []struct {
		name string
		text string
	}{
		{name: "event", text: event},
		{name: "comment", text: comment},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, fixedAdmission{})
			h.sender.body = func(Attempt) io.ReadCloser {
				return newSteppedBody(step{text: comment}, step{text: event})
			}
			ended := make(chan any, 1)
			go func() {
				defer func() { ended <- recover() }()
				h.server.Serve(t.Context(), h.request("resume"), &panickingCaller{
					text: tc.text,
				})
			}()
			select {
			case value := <-ended:
				if value != "fault" {
					t.Errorf("ended with %v, want the panic", value)
				}
			case <-time.After(5 * time.Second):
				t.Fatal("the request hangs")
			}
		})
	}
}
