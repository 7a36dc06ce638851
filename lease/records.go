package lease

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

// HolderRecord is the content of a lease holder's register.
//
// Invariant: a lease is granted only to an incarnation that is recorded and not retired,
// and its record is read before the configuration is. So whoever decides a configuration
// and reads the records afterwards sees every holder that may still serve by an older one.
type HolderRecord struct {
	Incarnation string `json:"incarnation"`
	Wire        string `json:"wire"`
	Retired     bool   `json:"retired,omitempty"`
}

// ensureRecord ensures that the holder's record is stored. A holder that has just started
// can't have a matching record, so its record is written without reading it first, but only
// once: such daemons may send many requests before their first lease, and all at the same
// time. From then on the record is written only if a read shows a different one.
func (issuer *Issuer) ensureRecord(key string, record HolderRecord, isNew bool) error {
	issuer.mutex.Lock()
	isNew = isNew && issuer.writtenRecords[key] != record
	issuer.mutex.Unlock()
	if !isNew {
		value, err := issuer.Registers.Read(key)
		if err != nil {
			return err
		}
		var stored HolderRecord
		if value.Serial > 0 {
			_ = json.Unmarshal(value.Data, &stored)
		}
		if stored == record {
			return nil
		}
	}
	return issuer.writeRecord(recordWrite{key, record}, issuer.leaseLength()/4)
}

// errRecordsNotRead tells that this process ended before the holders' records were read.
var errRecordsNotRead = errors.New("lease: the process ended before the lease holders' records were read")

// Holders reads the records of all holders, including retired ones. The records of the
// holders known from the last call are read while the keys are listed, to save time: the
// acknowledgement of an order waits for the result.
//
// Invariant: the result was listed and read after the call began.
func (issuer *Issuer) Holders() (map[string]HolderRecord, error) {
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
			out.keys, out.err = issuer.Registers.List(HolderPrefix)
		} else if len(knownKeys) > 0 {
			out.values, out.err = issuer.Registers.ReadMany(knownKeys...)
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
		more, err := issuer.Registers.ReadMany(missing...)
		if err != nil {
			return nil, err
		}
		maps.Copy(values, more)
	}
	issuer.mutex.Lock()
	issuer.holderKeys = listed.keys
	issuer.mutex.Unlock()
	holders := map[string]HolderRecord{}
	for key, value := range values {
		var record HolderRecord
		if value.Serial > 0 && json.Unmarshal(value.Data, &record) == nil && record.Wire != "" {
			holders[strings.TrimPrefix(key, HolderPrefix)] = record
		}
	}
	return holders, nil
}

var errRecordChanged = errors.New("the holder's record has changed")

// RetireRecords retires the records of holders that have been gone for long, and clears them once
// no lease of theirs can be valid any more. It is called by the leader elected for this
// task.
func (issuer *Issuer) RetireRecords() {
	_, _, tree := issuer.Current()
	if tree == nil {
		return
	}
	grace := 2 * tree.Duration("permit_ms", "")
	holders, err := issuer.Holders()
	if err != nil || issuer.Table.Age() < 10*grace {
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
		next := HolderRecord{} // clears the record
		if !record.Retired {
			next = record
			next.Retired = true
		}
		_, err := issuer.Registers.Update(HolderPrefix+name, func(value register.Value) ([]byte, error) {
			var stored HolderRecord
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
