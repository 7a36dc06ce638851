package decide

import (
	"github.com/tidwall/gjson"

	"swifttiller/verdict"
)

// Weigh reads from the request body what determines the cost of a call, and the hash of the
// beginning of its prompt.
func (decider *Decider) Weigh(call *Call, body []byte) *verdict.Mishap {
	reject := func(message string) *verdict.Mishap {
		decider.guard.Lock()
		defer decider.guard.Unlock()
		return decider.decline(400, "bad_request", message, 0)
	}
	if !gjson.ValidBytes(body) {
		return reject("the body is not JSON")
	}
	root := gjson.ParseBytes(body)
	if model := root.Get("model"); model.Type != gjson.String || model.Str != call.Model {
		return reject("the model in the body must match the one in the header")
	}
	if root.Get("stream").Type != gjson.True {
		return reject("only streamed completions are served: set stream to true")
	}
	prompt := root.Get("prompt").Raw
	if prompt == "" {
		prompt = root.Get("messages").Raw
	}
	if prompt == "" {
		return reject("the body has neither prompt nor messages")
	}
	call.Bytes = len(prompt)
	call.Answer = int(max(0, root.Get("max_tokens").Int()))
	call.Prefix = Prefix([]byte(prompt))
	return nil
}
