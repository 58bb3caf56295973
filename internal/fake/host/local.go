// Package host serves a stand-in on the loopback interface of the process
// that embeds it.
package host

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// headerTimeout bounds how long a client may take to send its header.
const headerTimeout = 10 * time.Second

// NewServer returns an http.Server for a stand-in.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
	}
}

// Serve serves a handler on a free loopback port. It returns the address and a
// function that closes the server and its connections, and then calls the
// releases, which are also called when Serve fails.
func Serve(h http.Handler, releases ...func()) (string, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		for _, release := range releases {
			release()
		}
		return "", nil, fmt.Errorf("serve stand-in: %w", err)
	}
	srv := NewServer(h)
	served := make(chan struct{})
	go func() {
		defer close(served)
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			// Clients see the listener closed; there is no other consequence.
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
