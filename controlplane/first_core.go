package controlplane

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"swifttiller/register"
)

// firstCoreTurn is for how long a seed leaves the forming of the first core to each seed that is
// listed before it, so that they rarely outbid each other.
const firstCoreTurn = 400 * time.Millisecond

// recordFirstStart makes the acceptor remember that the whole system starts for the first time,
// before this daemon sends or answers anything: it may be killed at any moment, and is not told
// again when it comes back.
func (daemon *Daemon) recordFirstStart() error {
	if !daemon.Process.First {
		return nil
	}
	var vote register.Vote
	_ = daemon.Acceptor.BeginFirstStart(register.FirstStart{Seeds: daemon.Live.Seeds()}, &vote)
	if vote.Kind != register.Granted {
		return fmt.Errorf("recording the first start: %s", vote.Mishap)
	}
	return nil
}

// hasFirstStart tells whether this daemon knows of a first start whose core is not formed yet.
func (daemon *Daemon) hasFirstStart() bool {
	return daemon.Acceptor != nil && len(daemon.Acceptor.FirstSeeds()) > 0
}

// formFirstCore forms the first core from the seeds of the first start, or completes the forming
// that another daemon has begun, and forgets the first start once that is done.
func (daemon *Daemon) formFirstCore() {
	if !daemon.hasFirstStart() {
		return
	}
	seeds := daemon.Acceptor.FirstSeeds()
	turn := slices.Index(seeds, daemon.Process.Wire)
	if turn < 0 {
		turn = len(seeds)
	}
	if daemon.World.Now()-daemon.startedAt < time.Duration(turn)*firstCoreTurn {
		return
	}
	core, err := daemon.Init(seeds)
	var exists *register.CoreExistsError
	if err != nil && !errors.As(err, &exists) {
		daemon.Log.Debug("forming the first core failed", zap.Error(err))
		return
	}
	daemon.LearnCore(core)
	if err := daemon.Acceptor.EndFirstStart(); err != nil {
		daemon.Log.Debug("forgetting the first start failed", zap.Error(err))
		return
	}
	daemon.Log.Info("first core formed", zap.Any("core", core))
}
