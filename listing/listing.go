// Package listing is the client of the platform's list of replicas: HTTP with
// JSON, lagging, and limited in how often it may be asked.
package listing

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"
)

// Listed is a replica as the platform lists it.
type Listed struct {
	ID, Address, Zone string
	Leaving           bool
	// Model and Version are what the replica holds from its start on, where the platform
	// says so; empty where probes tell.
	Model, Version string
	// Cold is how much longer it stays cold, as the list has it.
	Cold time.Duration
}

// Limited is the platform's word to come back later.
type Limited struct{ ComeBack time.Duration }

// Error is one line.
func (limited *Limited) Error() string {
	return "the platform wants to be asked again in " + limited.ComeBack.String()
}

// Client asks for a list.
type Client interface {
	// List asks for the replicas of the zones; a platform may answer with more.
	List(address string, zones []string, patience time.Duration) ([]Listed, error)
}

// HTTP is the real client.
type HTTP struct{}

// List asks once.
func (HTTP) List(address string, _ []string, timeout time.Duration) ([]Listed, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(address)
	if err := fasthttp.DoTimeout(request, response, timeout); err != nil {
		return nil, err
	}
	return Answered(response.StatusCode(), string(response.Header.Peek("Retry-After")), response.Body())
}

// Answered reads an answer of the platform.
func Answered(status int, retryAfter string, body []byte) ([]Listed, error) {
	switch status {
	case 200:
		return Read(body)
	case 429:
		seconds, err := strconv.Atoi(retryAfter)
		if err != nil {
			seconds = 1
		}
		return nil, &Limited{time.Duration(seconds) * time.Second}
	}
	return nil, fmt.Errorf("the platform answered %d", status)
}

// Read reads a list; one entry that can't be read spoils none of the others.
func Read(body []byte) ([]Listed, error) {
	list := gjson.GetBytes(body, "replicas")
	if !gjson.ValidBytes(body) || !list.IsArray() {
		return nil, errors.New("the platform's list can't be read")
	}
	var out []Listed
	for _, element := range list.Array() {
		// The strings are cloned: the body's buffer is the library's.
		entry := Listed{ID: clone(element.Get("id")), Address: clone(element.Get("address")), Zone: clone(element.Get("zone")), Model: clone(element.Get("model")), Version: clone(element.Get("version")), Leaving: element.Get("state").String() == "leaving"}
		if entry.ID != "" && entry.Address != "" {
			out = append(out, entry)
		}
	}
	return out, nil
}

func clone(value gjson.Result) string { return string([]byte(value.String())) }
