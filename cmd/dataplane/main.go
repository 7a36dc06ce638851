// Command dataplane runs the data daemon, which routes callers' requests and proxies them to
// replicas.
package main

import (
	"github.com/gofiber/fiber/v2"

	"swifttiller/dataplane"
	"swifttiller/platform"
	"swifttiller/replica"
	"swifttiller/serve"
	"swifttiller/traces"
)

func build(process *serve.Process) (serve.Daemon, error) {
	tracing := &traces.Switch{Options: traces.Options{Daemon: process.Name, Region: process.Region, Zone: process.Zone, QueueLength: 1024}, Log: process.Log}
	if err := tracing.To(process.Traces); err != nil {
		return serve.Daemon{}, err
	}
	options := dataplane.Options{
		World: process.World, Net: process.Net, Process: *process.Process, Live: process.Live, Incarnation: process.Incarnation,
		Replicas: &replica.HTTP{World: process.World}, Log: process.Log, OnFinished: tracing.Trace,
	}
	_, isDeployed := platform.Deployed()
	if isDeployed {
		options.ProxyClient = &replica.Proxy{World: process.World, Dialect: platform.Dialect{}}
		options.Probe = platform.Dialect{}.Probe
	}
	daemon := dataplane.New(options)
	var apps map[string]*fiber.App
	if isDeployed {
		var err error
		if apps, err = platform.DataplaneApps(daemon); err != nil {
			return serve.Daemon{}, err
		}
	}
	return serve.Daemon{
		Apps:     apps,
		Services: daemon.Services(), App: daemon.App(), Run: daemon.Run, Stop: daemon.Stop,
		Running:   daemon.Decider.Running,
		AfterStop: func() { _ = tracing.To("") }, RedirectTraces: tracing.To,
	}, nil
}

func main() {
	serve.Main("dataplane", &serve.Command{Program: "dataplane", Title: "data daemon", Load: platform.Load(platform.Dataplane), Make: build}, nil)
}
