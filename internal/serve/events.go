package serve

import "bytes"

// maxEvent bounds an event that has not ended yet.
const maxEvent = 1 << 20

// splitter cuts a byte stream into whole events, each with the blank line that
// ends it.
type splitter struct {
	rest []byte
}

// add takes over more bytes.
func (s *splitter) add(b []byte) { s.rest = append(s.rest, b...) }

// next returns the next whole event. The slice is valid until add.
func (s *splitter) next() []byte {
	end := eventEnd(s.rest)
	if end < 0 {
		return nil
	}
	event := s.rest[:end]
	s.rest = s.rest[end:]
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
