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

// ensureRecord sees to it that the holder's record stands. That of one which begins anew is
// written unread, as it can't stand, but once: such a daemon may ask many times before its
// first permit, and all at once. From then on it is written only where a read shows another.
func (issuer *Office) ensureRecord(key string, record Record, isNew bool) error {
	issuer.mutex.Lock()
	isNew = isNew && issuer.writtenRecords[key] != record
	issuer.mutex.Unlock()
	if !isNew {
		value, err := issuer.Keeper.Read(key)
		if err != nil {
			return err
		}
		var stored Record
		if value.Serial > 0 {
			_ = json.Unmarshal(value.Data, &stored)
		}
		if stored == record {
			return nil
		}
	}
	return issuer.writeRecord(recordWrite{key, record}, issuer.leaseLength()/4)
}

// errRecordsNotRead: this process ended before the records of holders were read.
var errRecordsNotRead = errors.New("permit: the records of holders were not read")

// Holders reads the records of all holders, retired ones too. Those that were there the last
// time are read while it is asked which there are: an order's acknowledgement waits for it.
//
// Invariant: whatever it gives was listed, and read, after it was called.
func (issuer *Office) Holders() (map[string]Record, error) {
	type part struct {
		keys   []string
		values map[string]register.Value
		err    error
	}
	issuer.mutex.Lock()
	knownKeys := issuer.holderKeys
	issuer.mutex.Unlock()
	var listed, early part
	isComplete := loop.Gather(issuer.World, 2, loop.Forever, func(index int) (out part) {
		if index == 0 {
			out.keys, out.err = issuer.Keeper.List(HolderPrefix)
		} else if len(knownKeys) > 0 {
			out.values, out.err = issuer.Keeper.ReadMany(knownKeys...)
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
		return nil, errRecordsNotRead
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
		more, err := issuer.Keeper.ReadMany(missing...)
		if err != nil {
			return nil, err
		}
		maps.Copy(values, more)
	}
	issuer.mutex.Lock()
	issuer.holderKeys = listed.keys
	issuer.mutex.Unlock()
	holders := map[string]Record{}
	for key, value := range values {
		var record Record
		if value.Serial > 0 && json.Unmarshal(value.Data, &record) == nil && record.Wire != "" {
			holders[strings.TrimPrefix(key, HolderPrefix)] = record
		}
	}
	return holders, nil
}

var errRecordChanged = errors.New("the record has changed")

// Sweep retires the records of holders long gone, and forgets them once no
// permit of theirs can stand. One daemon's duty calls it.
func (issuer *Office) Sweep() {
	_, _, tree := issuer.Current()
	if tree == nil {
		return
	}
	grace := 2 * tree.Span("permit_ms", "")
	holders, err := issuer.Holders()
	if err != nil || issuer.Table.Watched() < 10*grace {
		return
	}
	alive := map[string]bool{}
	for _, live := range issuer.Table.Live(session.Data) {
		alive[live.Member.Name+live.Member.Incarnation] = true
	}
	issuer.mutex.Lock()
	if issuer.absentSince == nil {
		issuer.absentSince = map[string]time.Duration{}
	}
	issuer.mutex.Unlock()
	names := make([]string, 0, len(holders))
	for name := range holders {
		names = append(names, name)
	}
	sort.Strings(names)
	now := issuer.World.Now()
	for _, name := range names {
		record := holders[name]
		key := name + record.Incarnation
		issuer.mutex.Lock()
		absentSince, isTracked := issuer.absentSince[key]
		if alive[key] {
			delete(issuer.absentSince, key)
		} else if !isTracked {
			issuer.absentSince[key] = now
		}
		issuer.mutex.Unlock()
		if alive[key] || !isTracked || now-absentSince < 5*grace {
			continue
		}
		next := Record{} // forgotten
		if !record.Retired {
			next = record
			next.Retired = true
		}
		_, err := issuer.Keeper.Change(HolderPrefix+name, func(value register.Value) ([]byte, error) {
			var stored Record
			_ = json.Unmarshal(value.Data, &stored)
			if stored != record {
				return nil, errRecordChanged
			}
			return json.Marshal(next)
		})
		if err == nil {
			issuer.mutex.Lock()
			issuer.absentSince[key] = now
			if next.Wire == "" {
				delete(issuer.absentSince, key)
			}
			issuer.mutex.Unlock()
		}
	}
}
