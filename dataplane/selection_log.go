package dataplane

import (
	"go.uber.org/zap"

	"swifttiller/decide"
)

// ChoiceMessage is the message of the log line for one replica selection. Its field "choice" holds
// a decide.Choice.
const ChoiceMessage = "choice"

// choices returns the function that logs replica selections, or nil if the settings do not ask for
// it.
func (daemon *Daemon) choices() func(decide.Choice) {
	if !daemon.Process.Choices {
		return nil
	}
	return func(choice decide.Choice) { daemon.Log.Info(ChoiceMessage, zap.Any("choice", choice)) }
}
