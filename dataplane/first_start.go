package dataplane

import (
	"time"

	"swifttiller/loop"
	"swifttiller/register"
)

// Timing of the announcements of a first start.
const (
	// firstStartInterval is how often the seeds are told; usually the core is formed before.
	firstStartInterval = time.Second
	firstStartTimeout  = 500 * time.Millisecond
)

// announceFirstStart tells the seeds that the whole system starts for the first time, until one of
// them belongs to a core. They may have been killed before they could record it, and are not
// told again by their own settings.
func (daemon *Daemon) announceFirstStart() {
	start := register.FirstStart{Seeds: daemon.Live.Seeds()}
	for daemon.Holder.View().Serial == 0 && loop.Sleep(daemon.World, firstStartInterval) {
		for _, seed := range start.Seeds {
			var vote register.Vote
			if err := daemon.Net.Call(seed, "Register.BeginFirstStart", start, &vote, firstStartTimeout); err == nil && vote.Core.Epoch > 0 {
				return
			}
		}
	}
}
