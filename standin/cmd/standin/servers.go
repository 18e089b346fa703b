package main

import (
	"context"
	"errors"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/fakeengine"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplain"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeweights"
)

// serverOptions are the options of all fakes.
type serverOptions struct {
	Address string `long:"address" description:"host:port to listen on" default:"127.0.0.1:0"`
}

// serve serves until SIGTERM or SIGINT.
func (o serverOptions) serve(handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	server := &http.Server{Addr: o.Address, Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

type weightsCommand struct {
	serverOptions
	ReadRate  int           `long:"read-rate" description:"calls of latest a second, 0 for no limit" default:"200"`
	LoadTime  time.Duration `long:"load-time" description:"time of one load of weights" default:"100ms"`
	LoadSlots int           `long:"load-slots" description:"loads at a time" default:"4"`
}

// Execute implements flags.Commander.
func (c *weightsCommand) Execute([]string) error {
	config := fakeweights.Config{ReadRate: c.ReadRate, LoadTime: c.LoadTime, LoadSlots: c.LoadSlots}
	return c.serve(fakeweights.New(config).Handler())
}

type engineCommand struct {
	serverOptions
	ID               string        `long:"id" description:"instance id" required:"true"`
	Pool             string        `long:"pool" description:"pool name" required:"true"`
	Weights          string        `long:"weights" description:"host:port of the weight store"`
	Version          int64         `long:"version" description:"active weight version, 0 for none"`
	TokenTime        time.Duration `long:"token-time" description:"one token of a batch of one" default:"1ms"`
	ExtraRequestTime time.Duration `long:"batch-time" description:"added for each further request in the batch" default:"100us"`
	MaxBatch         int           `long:"max-batch" description:"requests in the batch" default:"16"`
	MedianTokens     int           `long:"median-tokens" description:"median length of a completion" default:"64"`
	ChecksFencing    bool          `long:"checks-fencing" description:"refuse orders with an old fencing number"`
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	engine := fakeengine.New(fakeengine.Config{
		ID: c.ID, Pool: c.Pool, WeightAddress: c.Weights, Version: c.Version, TokenTime: c.TokenTime,
		ExtraRequestTime: c.ExtraRequestTime, MaxBatch: c.MaxBatch, MedianTokens: c.MedianTokens, ChecksFencing: c.ChecksFencing,
	})
	defer engine.Close()
	return c.serve(engine.Handler())
}

type plainCommand struct {
	serverOptions
	ID          string        `long:"id" description:"instance id" required:"true"`
	ServiceTime time.Duration `long:"service-time" description:"mean time of one request" default:"5ms"`
	Concurrency int           `long:"concurrency" description:"requests at a time, 0 for no limit" default:"32"`
	QueueLimit  int           `long:"queue-limit" description:"requests waiting before others are refused" default:"64"`
}

// Execute implements flags.Commander.
func (c *plainCommand) Execute([]string) error {
	return c.serve(fakeplain.New(fakeplain.Config{
		ID: c.ID, ServiceTime: c.ServiceTime, Concurrency: c.Concurrency, QueueLimit: c.QueueLimit,
	}).Handler())
}
