// Package verdict says of a request whether it may have run.
package verdict

import (
	"encoding/json"
	"fmt"
	"time"
)

// Verdict is what is known of a request's run.
//
// Invariant: a verdict only ever gets less certain towards NotRun. Once a byte
// of a request may have reached a replica, nothing turns it back to NotRun but
// the replica's own word.
type Verdict int

// The verdicts, from harmless to final.
const (
	NotRun Verdict = iota
	MayHaveRun
	Ran
)

var names = [...]string{"not_run", "may_have_run", "ran"}

// String is the word that callers see.
func (verdict Verdict) String() string { return names[verdict] }

// MarshalText writes the word.
func (verdict Verdict) MarshalText() ([]byte, error) { return []byte(verdict.String()), nil }

// UnmarshalText reads the word.
func (verdict *Verdict) UnmarshalText(text []byte) error {
	for index, name := range names {
		if name == string(text) {
			*verdict = Verdict(index)
			return nil
		}
	}
	return fmt.Errorf("no verdict %q", text)
}

// Mishap is the error that a request ends with.
type Mishap struct {
	Verdict Verdict `json:"verdict"`
	Code    string  `json:"code"`
	Message string  `json:"message"`
	// ComeBack, when above zero, is when a retry can help.
	ComeBack time.Duration `json:"-"`
	// Status is the HTTP status that fits.
	Status int   `json:"-"`
	Cause  error `json:"-"`
}

// Error is one line for logs.
func (failure *Mishap) Error() string {
	if failure.Cause != nil {
		return fmt.Sprintf("%s (%s): %s: %v", failure.Code, failure.Verdict, failure.Message, failure.Cause)
	}
	return fmt.Sprintf("%s (%s): %s", failure.Code, failure.Verdict, failure.Message)
}

// Unwrap gives the cause.
func (failure *Mishap) Unwrap() error { return failure.Cause }

// JSON is the body that callers get.
func (failure *Mishap) JSON() []byte {
	body, _ := json.Marshal(failure)
	return body
}

// Decline is a refusal that promises not run.
func Decline(status int, code, message string, comeBack time.Duration) *Mishap {
	return &Mishap{Verdict: NotRun, Code: code, Message: message, ComeBack: comeBack, Status: status}
}
