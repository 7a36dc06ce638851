// Command controlplane runs the control daemon and the operators' commands.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/gofiber/fiber/v2"

	"swifttiller/controlplane"
	"swifttiller/disk"
	"swifttiller/listing"
	"swifttiller/platform"
	"swifttiller/replica"
	"swifttiller/serve"
)

func build(process *serve.Process) (serve.Daemon, error) {
	var folder disk.Folder
	var closed func()
	if process.Data != "" {
		if err := os.MkdirAll(process.Data, 0o700); err != nil {
			return serve.Daemon{}, err
		}
		lock, err := disk.Lock(process.Data)
		if err != nil {
			return serve.Daemon{}, fmt.Errorf("cannot lock the data folder, another process may use it: %w", err)
		}
		closed = func() { lock.Close() }
		folder = disk.OSFolder(process.Data)
	}
	options := controlplane.Options{
		World: process.World, Net: process.Net, Process: *process.Process, Live: process.Live, Folder: folder, Incarnation: process.Incarnation,
		Replicas: &replica.HTTP{World: process.World}, Platform: listing.HTTP{}, Log: process.Log, Counter: process.Net.Counter,
	}
	_, isDeployed := platform.Deployed()
	if isDeployed {
		options.Platform, options.Dialect = platform.Provider{}, platform.Dialect{}
	}
	daemon, err := controlplane.New(options)
	if err != nil {
		return serve.Daemon{}, err
	}
	var apps map[string]*fiber.App
	if isDeployed {
		if apps, err = platform.ControlplaneApps(daemon); err != nil {
			return serve.Daemon{}, err
		}
	}
	stop := func(time.Duration) bool { daemon.Stop(); return true }
	return serve.Daemon{Apps: apps, Services: daemon.Services(), App: daemon.App(), Run: daemon.Run, Stop: stop, AfterStop: closed}, nil
}

func main() {
	help := "\n  With a data folder the daemon also runs an acceptor that can be added to the core."
	serve.Main("controlplane", &serve.Command{Program: "controlplane", Title: "control daemon", Help: help, Load: platform.Load(platform.Controlplane), Make: build}, commands())
}
