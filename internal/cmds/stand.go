package cmds

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
)

// standStop bounds how long a stand-in waits for running requests when it stops.
const standStop = 5 * time.Second

func listenFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "listen",
		Value: "127.0.0.1:0",
		Usage: "address to listen on; port 0 picks a free port",
	}
}

// serveStand serves a stand-in until the process is told to stop. The first
// line of the output is the address.
func serveStand(ctx context.Context, c *cli.Command, handler http.Handler) error {
	if c.Args().Present() {
		return Usagef("%s: unexpected argument %q", c.FullName(), c.Args().First())
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	l, err := net.Listen("tcp", c.String("listen"))
	if err != nil {
		return err
	}
	srv := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: 10 * time.Second,
	}
	fmt.Fprintf(c.Root().Writer, "listening %s\n", l.Addr())
	served := make(chan error, 1)
	go func() { served <- srv.Serve(l) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	shut, cancel := context.WithTimeout(context.WithoutCancel(ctx), standStop)
	defer cancel()
	if err := srv.Shutdown(shut); errors.Is(err, context.DeadlineExceeded) {
		return srv.Close()
	}
	return nil
}
