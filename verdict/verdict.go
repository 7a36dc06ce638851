// Package verdict describes whether a request may have been executed.
package verdict

import (
	"encoding/json"
	"fmt"
	"time"
)

// Verdict is what is known about the execution of a request.
//
// Invariant: a verdict only moves away from NotRun. Once a byte of a request may have
// reached a replica, only the replica's own reply that it did not run the request
// returns the verdict to NotRun.
type Verdict int

// The verdicts: the request did not run, may have run, or ran.
const (
	NotRun Verdict = iota
	MayHaveRun
	Ran
)

var names = [...]string{"not_run", "may_have_run", "ran"}

// String returns the verdict's name as callers see it.
func (verdict Verdict) String() string { return names[verdict] }

// MarshalText encodes the verdict as its name.
func (verdict Verdict) MarshalText() ([]byte, error) { return []byte(verdict.String()), nil }

// UnmarshalText decodes the name of a verdict.
func (verdict *Verdict) UnmarshalText(text []byte) error {
	for index, name := range names {
		if name == string(text) {
			*verdict = Verdict(index)
			return nil
		}
	}
	return fmt.Errorf("unknown verdict %q", text)
}

// Error is the error that a request ends with.
type Error struct {
	Verdict Verdict `json:"verdict"`
	Code    string  `json:"code"`
	Message string  `json:"message"`
	// ComeBack, if above zero, is the delay after which a retry may succeed.
	ComeBack time.Duration `json:"-"`
	// Status is the HTTP status of the response.
	Status int   `json:"-"`
	Cause  error `json:"-"`
}

// Error returns one line for logs.
func (failure *Error) Error() string {
	if failure.Cause != nil {
		return fmt.Sprintf("%s (%s): %s: %v", failure.Code, failure.Verdict, failure.Message, failure.Cause)
	}
	return fmt.Sprintf("%s (%s): %s", failure.Code, failure.Verdict, failure.Message)
}

// Unwrap returns the cause.
func (failure *Error) Unwrap() error { return failure.Cause }

// JSON returns the body of the error response.
func (failure *Error) JSON() []byte {
	body, _ := json.Marshal(failure)
	return body
}

// Reject returns the error for a request that is rejected and certainly did not run.
func Reject(status int, code, message string, comeBack time.Duration) *Error {
	return &Error{Verdict: NotRun, Code: code, Message: message, ComeBack: comeBack, Status: status}
}
