// Package host serves simulated servers on the loopback interface, within the
// process that uses them.
package host

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// headerTimeout bounds the time that a client has to send its request header.
const headerTimeout = 10 * time.Second

// NewServer returns an http.Server for a simulated server, with a header timeout.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
	}
}

// Serve serves a handler on a free loopback port. It returns the address and a
// function that closes the server and its connections and then calls the releases
// in order. If Serve fails, it calls the releases itself.
func Serve(h http.Handler, releases ...func()) (string, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		for _, release := range releases {
			release()
		}
		return "", nil, fmt.Errorf("listen on loopback: %w", err)
	}
	srv := NewServer(h)
	served := make(chan struct{})
	go func() {
		defer close(served)
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			// Close the listener so that clients get an error instead of a timeout.
			l.Close()
		}
	}()
	return l.Addr().String(), sync.OnceFunc(func() {
		srv.Close()
		<-served
		for _, release := range releases {
			release()
		}
	}), nil
}
