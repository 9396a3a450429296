package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"time"

	"amaranthmill/standin/engine"
	"amaranthmill/standin/platform"
	"amaranthmill/standin/service"

	"github.com/oklog/run"
	"github.com/rs/zerolog"
)

type platformCommand struct {
	Listen           string  `long:"listen" required:"true" description:"address to listen on"`
	WeightsPerSecond float64 `long:"weightsPerSecond" description:"loads that the weight store starts each second; 0 is no limit"`

	logger zerolog.Logger
}

// Execute runs the platform until the process receives a signal.
func (c *platformCommand) Execute([]string) error {
	p := platform.New(platform.Config{LoadsPerSecond: c.WeightsPerSecond})
	return serve(c.Listen, p.Handler(), p.Run)
}

type engineCommand struct {
	Name          string        `long:"name" required:"true" description:"endpoint name"`
	Listen        string        `long:"listen" required:"true" description:"address to listen on"`
	Platform      string        `long:"platform" required:"true" description:"address of the platform"`
	FailureDomain string        `long:"failureDomain" required:"true" description:"failure domain"`
	FabricDomain  string        `long:"fabricDomain" required:"true" description:"fabric domain"`
	ChecksFence   bool          `long:"checksFence" description:"refuse orders with an old fencing number"`
	Capacity      int           `long:"capacity" default:"32" description:"requests that run at once"`
	TokenInterval time.Duration `long:"tokenInterval" default:"5ms" description:"time between two tokens"`
	FirstToken    time.Duration `long:"firstToken" default:"20ms" description:"time before the first token"`
	CrashOnPoison bool          `long:"crashOnPoison" description:"crash on a prompt that contains \"poison\""`

	logger zerolog.Logger
}

// Execute lists the engine on the platform and runs it until the process receives a signal.
func (c *engineCommand) Execute([]string) error {
	listen, plat, err := parseAddresses(c.Listen, c.Platform)
	if err != nil {
		return err
	}
	e := engine.New(engine.Config{
		Name: c.Name, Address: listen, Platform: plat, ChecksFence: c.ChecksFence, Capacity: c.Capacity,
		TokenInterval: c.TokenInterval, FirstTokenDelay: c.FirstToken, CrashOnPoison: c.CrashOnPoison,
		Crash: func() { os.Exit(3) }, Logger: c.logger,
	})
	go putListing(plat, listing{
		Name: c.Name, Kind: "engine", Address: listen, FailureDomain: c.FailureDomain,
		FabricDomain: c.FabricDomain, State: "live", Accelerators: 1,
	})
	return serve(c.Listen, e.Handler(), nil)
}

type serviceCommand struct {
	Name          string        `long:"name" required:"true" description:"endpoint name"`
	Service       string        `long:"service" required:"true" description:"service name"`
	Listen        string        `long:"listen" required:"true" description:"address to listen on"`
	Platform      string        `long:"platform" required:"true" description:"address of the platform"`
	FailureDomain string        `long:"failureDomain" required:"true" description:"failure domain"`
	Work          time.Duration `long:"work" default:"2ms" description:"time that a call takes"`

	logger zerolog.Logger
}

// Execute lists the plain service on the platform and runs it until the process receives a signal.
func (c *serviceCommand) Execute([]string) error {
	listen, plat, err := parseAddresses(c.Listen, c.Platform)
	if err != nil {
		return err
	}
	s := service.New(service.Config{Name: c.Name, CallTime: c.Work})
	go putListing(plat, listing{
		Name: c.Name, Kind: "service", Address: listen, FailureDomain: c.FailureDomain, Service: c.Service, State: "live",
	})
	return serve(c.Listen, s.Handler(), nil)
}

// parseAddresses parses the address to listen on and the address of the platform.
func parseAddresses(listen, platform string) (l, p netip.AddrPort, err error) {
	if l, err = netip.ParseAddrPort(listen); err != nil {
		return l, p, err
	}
	p, err = netip.ParseAddrPort(platform)
	return l, p, err
}

// listing is an entry of the platform's list of instances.
type listing struct {
	Name          string         `json:"name"`
	Kind          string         `json:"kind"`
	Address       netip.AddrPort `json:"address"`
	FailureDomain string         `json:"failureDomain"`
	FabricDomain  string         `json:"fabricDomain,omitempty"`
	Service       string         `json:"service,omitempty"`
	State         string         `json:"state"`
	Accelerators  int            `json:"accelerators,omitempty"`
}

// putListing writes l to the platform's list of instances. It retries until the platform answers,
// because the platform may not listen yet.
func putListing(platform netip.AddrPort, l listing) {
	b, err := json.Marshal(l)
	if err != nil {
		panic(err)
	}
	for {
		req, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/instances/%s", platform, l.Name), bytes.NewReader(b))
		if err != nil {
			panic(err)
		}
		if res, err := http.DefaultClient.Do(req); err == nil {
			res.Body.Close()
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// serve runs an HTTP server with h, and extra unless extra is nil, until the process receives a
// SIGTERM or an interrupt.
func serve(listen string, h http.Handler, extra func(context.Context) error) error {
	var g run.Group
	s := &http.Server{Addr: listen, Handler: h, ReadHeaderTimeout: 10 * time.Second}
	g.Add(s.ListenAndServe, func(error) { _ = s.Close() })
	g.Add(run.SignalHandler(context.Background(), syscall.SIGTERM, os.Interrupt))
	if extra != nil {
		ctx, cancel := context.WithCancel(context.Background())
		g.Add(func() error { return extra(ctx) }, func(error) { cancel() })
	}
	err := g.Run()
	if errors.Is(err, run.ErrSignal) {
		return nil
	}
	return err
}
