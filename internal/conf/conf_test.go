package conf

import (
	"testing"
	"time"
)

// Guards against missing defaults, and against defaults that fail validation.
func TestDecode(t *testing.T) {
	s, err := Decode("f", []byte("node: {name: n1, domain: d1}\nlisten: {peers: \"10.0.0.1:7946\"}\nplatform: {url: http://10.0.0.9:80}\n"))
	if err != nil {
		t.Fatal(err)
	}
	if s.Listen.PeersAdvertised != "10.0.0.1:7946" || s.Shutdown.Drain != 0 || time.Duration(s.Limits.StreamIdle) != 30*time.Second {
		t.Errorf("%+v", s)
	}
}

// Guards against findings that are reported one at a time or without a position.
func TestFindings(t *testing.T) {
	_, err := Decode("f", []byte(`node: {name: N1}
listen: {callers: 8080, admin: ":7946"}
platform: {url: "ftp://x", timeout: soon}
peers: {seeds: ["10.0.0.2:7946", "nowhere"]}
shutdown: {drain: -1s, grace: 1s}
log: {verbosity: 11}
`))
	want := `f:1:7: node.domain: is missing
f:1:14: node.name: "N1" is not in kebab case with at most 64 characters
f:2:9: listen.peers-advertised: is missing; the address ":7946" is not one that others can connect to
f:2:19: listen.callers: "8080" is not host:port
f:2:32: listen.admin: ":7946" is also the address for peers
f:3:17: platform.url: "ftp://x" is not an http or https URL
f:3:37: platform.timeout: time: invalid duration "soon"
f:4:34: peers.seeds[1]: "nowhere" is not host:port
f:5:19: shutdown.drain: is below zero
f:5:24: shutdown: unknown field "grace"
f:6:18: log.verbosity: 11 is not between 0 and 10`
	if err == nil || err.Error() != want {
		t.Errorf("got:\n%v\nwant:\n%s", err, want)
	}
}

// Guards against bounds below zero that are reported at another setting.
func TestFleetBounds(t *testing.T) {
	_, err := DecodeFleet("f", []byte(`node: {name: n1, domain: d1, memory-mb: -4}
listen: {callers: "10.0.0.1:1", ready: "10.0.0.1:2", peers: "10.0.0.1:3", metrics: "10.0.0.1:4"}
store: {address: "10.0.0.9:80"}
bounds:
  lease: 3s
  grace: -1s
  retry-window: -2s
  retry-ratio: 0.2
  retry-slack: -1
  quota-slack: -3
`))
	want := `f:1:41: node.memory-mb: is below zero
f:6:10: bounds.grace: is below zero
f:7:17: bounds.retry-window: is below zero
f:9:16: bounds.retry-slack: is below zero
f:10:16: bounds.quota-slack: is below zero`
	if err == nil || err.Error() != want {
		t.Errorf("got:\n%v\nwant:\n%s", err, want)
	}
}

// TestHeartbeat guards against a process that does not start because the platform's template
// leaves the heartbeat empty, and against one that is no time.
func TestHeartbeat(t *testing.T) {
	for _, tc := range []struct {
		text string
		want time.Duration // 0 for an error
	}{
		{text: "", want: time.Duration(DefaultHeartbeat)},
		{text: `heartbeat-ms: ""`, want: time.Duration(DefaultHeartbeat)},
		{text: `heartbeat-ms: "800"`, want: 800 * time.Millisecond},
		{text: "heartbeat-ms: 1200.5", want: 1200500 * time.Microsecond},
		{text: `heartbeat-ms: "-1"`},
		{text: `heartbeat-ms: "NaN"`},
		{text: `heartbeat-ms: "1e12"`},
		{text: `heartbeat-ms: "soon"`},
	} {
		s, err := DecodeFleet("f", []byte(`node: {name: n1, domain: d1}
listen: {callers: "10.0.0.1:1", ready: "10.0.0.1:2", peers: "10.0.0.1:3", metrics: "10.0.0.1:4"}
store:
  address: "10.0.0.9:80"
  `+tc.text+"\n"))
		switch {
		case tc.want == 0 && err == nil:
			t.Errorf("%q was taken as %v", tc.text, time.Duration(s.Store.Heartbeat))
		case tc.want != 0 && (err != nil || time.Duration(s.Store.Heartbeat) != tc.want):
			t.Errorf("%q: got %v, want %v", tc.text, err, tc.want)
		}
	}
}
