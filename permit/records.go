package permit

import (
	"encoding/json"
	"errors"
	"maps"
	"sort"
	"strings"
	"time"

	"swifttiller/loop"
	"swifttiller/register"
	"swifttiller/session"
)

// Record is what a holder's register holds.
//
// Invariant: a permit is granted only to a recorded, not retired incarnation,
// and the record is read before the configuration is. So whoever decides a
// configuration and then reads the records sees every holder that may still act
// on an older one.
type Record struct {
	Incarnation string `json:"incarnation"`
	Wire        string `json:"wire"`
	Retired     bool   `json:"retired,omitempty"`
}

// recorded sees to it that the holder's record stands. That of one which begins anew is
// written unread, as it can't stand, but once: such a daemon may ask many times before its
// first permit, and all at once. From then on it is written only where a read shows another.
func (office *Office) recorded(key string, record Record, isNew bool) error {
	office.guard.Lock()
	isNew = isNew && office.enrolled[key] != record
	office.guard.Unlock()
	if !isNew {
		value, err := office.Keeper.Read(key)
		if err != nil {
			return err
		}
		var have Record
		if value.Serial > 0 {
			_ = json.Unmarshal(value.Data, &have)
		}
		if have == record {
			return nil
		}
	}
	return office.enrol(enrolment{key, record}, office.span()/4)
}

// errUnread: this process ended before the records of holders were read.
var errUnread = errors.New("permit: the records of holders were not read")

// Holders reads the records of all holders, retired ones too. Those that were there the last
// time are read while it is asked which there are: an order's acknowledgement waits for it.
//
// Invariant: whatever it gives was listed, and read, after it was called.
func (office *Office) Holders() (map[string]Record, error) {
	type part struct {
		keys   []string
		values map[string]register.Value
		err    error
	}
	office.guard.Lock()
	known := office.holderKeys
	office.guard.Unlock()
	var listed, early part
	isComplete := loop.Gather(office.World, 2, loop.Forever, func(index int) (out part) {
		if index == 0 {
			out.keys, out.err = office.Keeper.List(HolderPrefix)
		} else if len(known) > 0 {
			out.values, out.err = office.Keeper.ReadMany(known...)
		}
		return out
	}, func(index int, out part) bool {
		if index == 0 {
			listed = out
		} else {
			early = out
		}
		return false
	})
	if !isComplete {
		return nil, errUnread
	}
	if listed.err != nil || len(listed.keys) == 0 {
		return nil, listed.err
	}
	values := map[string]register.Value{}
	var missing []string
	for _, key := range listed.keys {
		if value, isRead := early.values[key]; isRead {
			values[key] = value
		} else {
			missing = append(missing, key)
		}
	}
	if len(missing) > 0 {
		more, err := office.Keeper.ReadMany(missing...)
		if err != nil {
			return nil, err
		}
		maps.Copy(values, more)
	}
	office.guard.Lock()
	office.holderKeys = listed.keys
	office.guard.Unlock()
	holders := map[string]Record{}
	for key, value := range values {
		var record Record
		if value.Serial > 0 && json.Unmarshal(value.Data, &record) == nil && record.Wire != "" {
			holders[strings.TrimPrefix(key, HolderPrefix)] = record
		}
	}
	return holders, nil
}

var errOther = errors.New("the record has changed")

// Sweep retires the records of holders long gone, and forgets them once no
// permit of theirs can stand. One daemon's duty calls it.
func (office *Office) Sweep() {
	_, _, tree := office.Current()
	if tree == nil {
		return
	}
	length := 2 * tree.Span("permit_ms", "")
	holders, err := office.Holders()
	if err != nil || office.Table.Watched() < 10*length {
		return
	}
	alive := map[string]bool{}
	for _, one := range office.Table.Live(session.Data) {
		alive[one.Member.Name+one.Member.Incarnation] = true
	}
	office.guard.Lock()
	if office.retiring == nil {
		office.retiring = map[string]time.Duration{}
	}
	office.guard.Unlock()
	names := make([]string, 0, len(holders))
	for name := range holders {
		names = append(names, name)
	}
	sort.Strings(names)
	now := office.World.Now()
	for _, name := range names {
		record := holders[name]
		key := name + record.Incarnation
		office.guard.Lock()
		since, waiting := office.retiring[key]
		if alive[key] {
			delete(office.retiring, key)
		} else if !waiting {
			office.retiring[key] = now
		}
		office.guard.Unlock()
		if alive[key] || !waiting || now-since < 5*length {
			continue
		}
		next := Record{} // forgotten
		if !record.Retired {
			next = record
			next.Retired = true
		}
		_, err := office.Keeper.Change(HolderPrefix+name, func(value register.Value) ([]byte, error) {
			var have Record
			_ = json.Unmarshal(value.Data, &have)
			if have != record {
				return nil, errOther
			}
			return json.Marshal(next)
		})
		if err == nil {
			office.guard.Lock()
			office.retiring[key] = now
			if next.Wire == "" {
				delete(office.retiring, key)
			}
			office.guard.Unlock()
		}
	}
}
