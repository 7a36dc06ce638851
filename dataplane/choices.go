package dataplane

import (
	"go.uber.org/zap"

	"swifttiller/decide"
)

// ChoiceMessage is the log's message of one choice; its field choice holds a decide.Choice.
const ChoiceMessage = "choice"

// choices is what logs the choices behind dispatches; nil where the settings do not ask.
func (daemon *Daemon) choices() func(decide.Choice) {
	if !daemon.Process.Choices {
		return nil
	}
	return func(choice decide.Choice) { daemon.Log.Info(ChoiceMessage, zap.Any("choice", choice)) }
}
