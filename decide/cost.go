package decide

import (
	"github.com/tidwall/gjson"

	"swifttiller/verdict"
)

// ReadCost reads from the request body what determines the cost of a call, and the hash of the
// beginning of its prompt.
func (decider *Decider) ReadCost(call *Call, body []byte) *verdict.Error {
	reject := func(message string) *verdict.Error {
		decider.mu.Lock()
		defer decider.mu.Unlock()
		return decider.reject(400, "bad_request", message, 0)
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
	call.MaxAnswerTokens = int(max(0, root.Get("max_tokens").Int()))
	call.Prefix = Prefix([]byte(prompt))
	return nil
}
