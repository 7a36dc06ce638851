// Package listing is the client of the platform's list of replicas. The list is JSON over HTTP; it
// lags behind, and the platform limits how often it may be requested.
package listing

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"
)

// Instance is a replica as listed by the platform.
type Instance struct {
	ID, Address, Zone string
	Leaving           bool
	// Model and Version are what the replica has loaded from its start, if the platform reports
	// it; empty if only health checks tell.
	Model, Version string
	// Cold is the remaining warm-up time according to the list.
	Cold time.Duration
}

// RateLimitedError is the error of a rate-limited request; RetryAfter is the delay before a retry.
type RateLimitedError struct{ RetryAfter time.Duration }

// Error implements error with a message of one line.
func (limited *RateLimitedError) Error() string {
	return "the platform wants to be asked again in " + limited.RetryAfter.String()
}

// Client requests a list of replicas.
type Client interface {
	// List requests the replicas of the zones; a platform may return more than those.
	List(address string, zones []string, timeout time.Duration) ([]Instance, error)
}

// HTTP is the client that requests lists over the network.
type HTTP struct{}

// List sends one request, without retries.
func (HTTP) List(address string, _ []string, timeout time.Duration) ([]Instance, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(address)
	if err := fasthttp.DoTimeout(request, response, timeout); err != nil {
		return nil, err
	}
	return ParseResponse(response.StatusCode(), string(response.Header.Peek("Retry-After")), response.Body())
}

// ParseResponse parses a response of the platform.
func ParseResponse(status int, retryAfter string, body []byte) ([]Instance, error) {
	switch status {
	case 200:
		return ParseList(body)
	case 429:
		seconds, err := strconv.Atoi(retryAfter)
		if err != nil {
			seconds = 1
		}
		return nil, &RateLimitedError{time.Duration(seconds) * time.Second}
	}
	return nil, fmt.Errorf("the platform responded with status %d", status)
}

// ParseList parses a list. It skips entries without an id or address, and keeps all others.
func ParseList(body []byte) ([]Instance, error) {
	list := gjson.GetBytes(body, "replicas")
	if !gjson.ValidBytes(body) || !list.IsArray() {
		return nil, errors.New("the platform's response is not a valid list of replicas")
	}
	var out []Instance
	for _, element := range list.Array() {
		// The strings are copied, because the HTTP library reuses the buffer of the body.
		entry := Instance{ID: clone(element.Get("id")), Address: clone(element.Get("address")), Zone: clone(element.Get("zone")), Model: clone(element.Get("model")), Version: clone(element.Get("version")), Leaving: element.Get("state").String() == "leaving"}
		if entry.ID != "" && entry.Address != "" {
			out = append(out, entry)
		}
	}
	return out, nil
}

func clone(value gjson.Result) string { return string([]byte(value.String())) }
