package serve

import "bytes"

// maxEvent is the maximum size in bytes of an event whose end was not received yet.
const maxEvent = 1 << 20

// eventSplitter splits a stream of server-sent events into complete events, each
// with the blank line that ends it.
type eventSplitter struct {
	unread []byte
	// scanned is how many bytes of unread are known to contain no end of an event.
	scanned int
}

// add appends received bytes.
func (s *eventSplitter) add(b []byte) { s.unread = append(s.unread, b...) }

// next returns the next complete event, or nil. The slice is valid until the next
// call of add.
func (s *eventSplitter) next() []byte {
	end := eventEnd(s.unread[s.scanned:])
	if end < 0 {
		// The blank line may be split between two reads.
		s.scanned = max(0, len(s.unread)-len("\n\r\n")+1)
		return nil
	}
	event := s.unread[:s.scanned+end]
	s.unread = s.unread[s.scanned+end:]
	s.scanned = 0
	return event
}

// eventEnd returns the length of the first event in b, or -1.
func eventEnd(b []byte) int {
	for at := 0; at < len(b); {
		i := bytes.IndexByte(b[at:], '\n')
		if i < 0 {
			return -1
		}
		at += i + 1
		switch {
		case at < len(b) && b[at] == '\n':
			return at + 1
		case at+1 < len(b) && b[at] == '\r' && b[at+1] == '\n':
			return at + 2
		}
	}
	return -1
}

// hasField reports whether an event has a line other than comments.
func hasField(event []byte) bool {
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// eventID returns the value of the event's id field, or "".
func eventID(event []byte) string {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte("\n"))
		event = rest
		line = bytes.TrimSuffix(line, []byte("\r"))
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
	return ""
}
