package main

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"

	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/standin/kv"
	"github.com/foxtailpass/foxtailpass/internal/standin/site"
)

func platformCommand(logger *log.Logger) *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a stand-in for the platform: its key-value service with its list of upstreams",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "addr", Value: "127.0.0.1:2379", Usage: "listen address"},
			&cli.StringFlag{Name: "prefix", Value: "foxtailpass/", Usage: "key prefix of the installation"},
			&cli.StringFlag{Name: "upstreams", Usage: "JSON `file` with the list of upstreams; the list follows changes of the file"},
			&cli.DurationFlag{Name: "upstreams-lag", Usage: "time until a change of the file is written to the key-value service"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runPlatform(ctx, logger, c)
		},
	}
}

func runPlatform(ctx context.Context, logger *log.Logger, c *cli.Command) error {
	ln, err := net.Listen("tcp", c.String("addr"))
	if err != nil {
		return fmt.Errorf("%w: %w", errSettings, err)
	}
	store := kv.NewStore(kv.Options{})
	server := kv.NewServer(store)
	go store.Run(ctx)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(ln) }()
	if err := followUpstreams(ctx, logger, c, ln.Addr().String()); err != nil {
		return err
	}
	fmt.Printf("platform ready at %s\n", ln.Addr())
	select {
	case err := <-failed:
		return fmt.Errorf("platform: %w", err)
	case <-ctx.Done():
	}
	logger.Info("Stand-in stopping.")
	return server.Close()
}

// followUpstreams keeps the platform's list of upstreams equal to a file, if the flags name one. It writes
// the list through the port of the key-value service, as any other client does.
func followUpstreams(ctx context.Context, logger *log.Logger, c *cli.Command, addr string) error {
	file := c.String("upstreams")
	if file == "" {
		return nil
	}
	client, err := kvstore.NewClient(kvstore.Options{Endpoints: []string{addr}, Prefix: c.String("prefix"), Timeout: time.Second})
	if err != nil {
		return fmt.Errorf("%w: %w", errSettings, err)
	}
	registry := site.NewRegistry(client, c.Duration("upstreams-lag"))
	go registry.Follow(ctx, file, func(err error) { logger.Warn("The list of upstreams cannot be updated from its file.", "err", err) })
	return nil
}
