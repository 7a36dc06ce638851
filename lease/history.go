package lease

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"swifttiller/register"
)

// The history of accepted orders. A configuration itself contains the latest ones. As every
// lease grant reads the configuration, older ones are moved to separate registers, a page
// at a time.
const (
	// MaxMarks is how many marks a configuration keeps. It keeps up to twice as many
	// while no page can be written.
	MaxMarks = 64
	// marksPerPage is how many marks a history page has.
	marksPerPage = MaxMarks / 2
	// HistoryPages is how many pages are kept. Page registers are reused in turn: a page
	// overwrites the one that is HistoryPages older.
	HistoryPages = 128
	// HistoryPrefix is the key prefix of the pages' registers.
	HistoryPrefix = "orders/"
)

// HistoryPage is one page of the history of accepted orders.
//
// Invariant: the marks of a page are determined by its number, as marks leave a
// configuration only in the order in which they were added, a page at a time. So any daemon
// may write a page, any number of times, before the configuration drops its marks.
type HistoryPage struct {
	Number uint64      `json:"number"` // counted from zero
	Marks  []OrderMark `json:"marks"`
}

// Errors of lookups in the history and of additions to it.
var (
	// ErrBeforeHistory tells that the order is older than the whole history.
	ErrBeforeHistory = errors.New("lease: the order is older than the recorded history of accepted orders")
	// ErrHistoryFull tells that the configuration has no room for another mark, because
	// older ones could not be moved to the history yet.
	ErrHistoryFull = errors.New("lease: cannot write the history of accepted orders at present")
)

func historyKey(number uint64) string {
	return fmt.Sprintf("%s%03d", HistoryPrefix, number%HistoryPages)
}

// WithDocument returns the configuration with another document, and remembers the document's mark
// if it has one. Evacuations are kept. The parameter archived is how many pages of the
// history are known to be written.
func (config Config) WithDocument(document []byte, mark OrderMark, archived uint64) (Config, error) {
	config.Document, config.Origin = SplitOrigin(document)
	if mark == "" {
		return config, nil
	}
	if len(config.Taken) >= MaxMarks && config.Archived < archived {
		config.Taken = config.Taken[marksPerPage:]
		config.Archived++
	}
	if len(config.Taken) >= 2*MaxMarks {
		return config, ErrHistoryFull
	}
	config.Taken = append(slices.Clone(config.Taken), mark)
	return config, nil
}

// Archive writes the next history page if the configuration that this issuer knows has
// enough marks for one. It returns how many pages are known to be written.
func (issuer *Issuer) Archive() uint64 {
	_, config, _ := issuer.Current()
	if len(config.Taken) < MaxMarks {
		return config.Archived
	}
	page := HistoryPage{Number: config.Archived, Marks: config.Taken[:marksPerPage]}
	err := WritePage(issuer.Registers, issuer.orderTimeout(), page)
	if err != nil {
		return config.Archived // the configuration can keep more marks for a while
	}
	return config.Archived + 1
}

// WritePage writes a history page, unless its register holds that page or a newer one.
func WritePage(registers *register.Client, timeout time.Duration, page HistoryPage) error {
	_, err := registers.UpdateWithin(historyKey(page.Number), timeout, func(value register.Value) ([]byte, error) {
		var stored HistoryPage
		if value.Serial > 0 {
			if err := json.Unmarshal(value.Data, &stored); err != nil {
				return nil, err
			}
			if stored.Number >= page.Number {
				return nil, ErrAlreadyInForce
			}
		}
		return json.Marshal(page)
	})
	if errors.Is(err, ErrAlreadyInForce) {
		return nil
	}
	return err
}

// InHistory tells whether an order is in the part of the history that was moved out of the
// given configuration, which must be a decided one. It returns ErrBeforeHistory or an error of
// the registers.
func (issuer *Issuer) InHistory(config Config, mark OrderMark, timeout time.Duration) (bool, error) {
	first := uint64(0)
	if config.Archived > HistoryPages {
		first = config.Archived - HistoryPages
	}
	missing := issuer.missingPages(first, config.Archived)
	if len(missing) > 0 {
		if err := issuer.readPages(missing, timeout); err != nil {
			return false, err
		}
	}
	issuer.mutex.Lock()
	defer issuer.mutex.Unlock()
	for number := first; number < config.Archived; number++ {
		if slices.Contains(issuer.pages[number], mark) {
			return true, nil
		}
	}
	oldest := issuer.pages[first]
	if first > 0 && (len(oldest) == 0 || mark.Label() < oldest[0].Label()) {
		return false, ErrBeforeHistory
	}
	return false, nil
}

// missingPages lists the pages that were not read yet, and drops cached pages before the
// first.
func (issuer *Issuer) missingPages(first, end uint64) (missing []uint64) {
	issuer.mutex.Lock()
	defer issuer.mutex.Unlock()
	for number := range issuer.pages {
		if number < first {
			delete(issuer.pages, number)
		}
	}
	for number := first; number < end; number++ {
		if issuer.pages[number] == nil {
			missing = append(missing, number)
		}
	}
	return missing
}

// readPages reads pages that a decided configuration refers to. Pages that newer ones have
// overwritten are left empty.
func (issuer *Issuer) readPages(numbers []uint64, timeout time.Duration) error {
	keys := make([]string, len(numbers))
	for index, number := range numbers {
		keys[index] = historyKey(number)
	}
	values, err := issuer.Registers.ReadManyWithin(timeout, keys...)
	if err != nil {
		return err
	}
	issuer.mutex.Lock()
	defer issuer.mutex.Unlock()
	if issuer.pages == nil {
		issuer.pages = map[uint64][]OrderMark{}
	}
	for index, number := range numbers {
		var page HistoryPage
		if err := json.Unmarshal(values[keys[index]].Data, &page); err != nil {
			return fmt.Errorf("cannot decode page %d of the history of accepted orders: %w", number, err)
		}
		if page.Number == number {
			issuer.pages[number] = page.Marks
		}
	}
	return nil
}
