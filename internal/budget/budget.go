// Package budget divides the memory and the descriptors of a process among the
// connections of its callers, and decides which connection gives way when a part is used
// up: one that has stopped before one that makes progress, and a large request before a
// small one, which needs no share.
package budget

import (
	"math"
	"syscall"
)

// Part is a part of what a process may use for its callers.
type Part int

// The parts.
const (
	// Conns is the number of connections.
	Conns Part = iota
	// Heads is the memory of requests' heads beyond FreeHead, in bytes.
	Heads
	// Bodies is the memory of requests' bodies beyond FreeBody, in bytes, from their arrival
	// to the end of their requests.
	Bodies
	// Answers is the memory of unfinished answers beyond FreeAnswer, in bytes.
	Answers
	partCount
)

var partNames = [partCount]string{"connections", "heads", "bodies", "answers"}

// String implements fmt.Stringer.
func (p Part) String() string { return partNames[p] }

// Parts returns all parts.
func Parts() []Part { return []Part{Conns, Heads, Bodies, Answers} }

// Limits holds the size of each part.
type Limits [partCount]int64

// What each connection may use without a share of a part, in bytes. It is in ConnCost.
const (
	FreeHead   = 16 << 10
	FreeBody   = 16 << 10
	FreeAnswer = 16 << 10
	// CallerSocket and AnswerSocket are what the sockets of a caller and of its endpoint have
	// received at most and nobody has read.
	CallerSocket = 64 << 10
	AnswerSocket = 64 << 10
	// ConnCost is the most that a connection takes besides its shares: its stacks and
	// buffers and those of the endpoint's connection (56 KiB), what is free, and what is in
	// both sockets.
	ConnCost = 56<<10 + FreeHead + FreeBody + FreeAnswer + CallerSocket + AnswerSocket
)

// How the memory of a process is divided. What is not named here is for memory that the
// garbage collector has not freed yet.
const (
	// stateBytes is for the program, the runtime and the tables of the process.
	stateBytes = 43e6
	// minCallersShare is the least part of the memory that is for callers, on machines
	// that have hardly more than stateBytes.
	minCallersShare = 0.25
	connsShare      = 0.40
	headsShare      = 0.05
	bodiesShare     = 0.22
	answersShare    = 0.12
)

// How the descriptors of a process are divided.
const (
	// fileDescriptors is how many are kept for files.
	fileDescriptors = 200
	// descriptorsPerConn is how many a connection may take: its own, two for endpoints,
	// and one for the process's own connections.
	descriptorsPerConn = 4
)

const (
	// DefaultMemory is used where the memory of a process is not known, in bytes.
	DefaultMemory = 240e6
	// minConns is the least number of connections.
	minConns = 8
)

// Divide returns the limits of a process that may use the given memory, in bytes, and
// the given number of descriptors. A memory of 0 means that it is not known.
func Divide(memory float64, descriptors int) Limits {
	if memory <= 0 {
		memory = DefaultMemory
	}
	callers := max(memory-stateBytes, memory*minCallersShare)
	return Limits{
		Conns:   max(minConns, min(int64(callers*connsShare)/ConnCost, ConnsByDescriptors(descriptors))),
		Heads:   int64(callers * headsShare),
		Bodies:  int64(callers * bodiesShare),
		Answers: int64(callers * answersShare),
	}
}

// ConnsByDescriptors returns how many connections of callers a process with the given number
// of descriptors may have.
func ConnsByDescriptors(descriptors int) int64 {
	return max(minConns, int64(descriptors-fileDescriptors)/descriptorsPerConn)
}

// Descriptors returns how many descriptors the process may open: the lower one of the
// setting, 0 for none, and of what the system allows.
func Descriptors(setting int) int {
	out := math.MaxInt32
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur < math.MaxInt32 {
		out = int(limit.Cur)
	}
	if setting > 0 {
		out = min(out, setting)
	}
	return out
}
