package permit

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"swifttiller/register"
)

// The history of accepted orders. A configuration names the last of them itself, as every
// lease reads it; the older ones are moved to registers of their own, a page at a time.
const (
	// Remembered is how many marks a configuration keeps, at most twice as many where no
	// page could be written meanwhile.
	Remembered = 64
	// marksPerPage is how many marks a page of the history has.
	marksPerPage = Remembered / 2
	// HistoryPages is how many pages are kept: a newer one takes the register of the one
	// that lies so many before it.
	HistoryPages = 128
	// HistoryPrefix begins the keys of the pages.
	HistoryPrefix = "orders/"
)

// HistoryPage is a page of the history of accepted orders.
//
// Invariant: the marks of a page follow from its number alone, as marks leave a
// configuration only in the order of their coming, a page at a time. So it is written
// before the configuration lets go of them, by whoever likes and as often as it likes.
type HistoryPage struct {
	Number uint64 `json:"number"` // pages count from zero
	Marks  []Mark `json:"marks"`
}

// The ways in which the history gives no answer.
var (
	// ErrForgotten: the order is older than all that is remembered.
	ErrForgotten = errors.New("permit: the order is older than the history of accepted ones")
	// ErrHistoryFull: the last orders could not be moved to the history yet.
	ErrHistoryFull = errors.New("permit: the history of accepted orders can't be written now")
)

func historyKey(number uint64) string {
	return fmt.Sprintf("%s%03d", HistoryPrefix, number%HistoryPages)
}

// Take gives the configuration with another document, which is remembered by its mark if
// it has one. Evacuations stay. Archived is how many pages of the history are known to be
// written.
func (config Config) Take(document []byte, mark Mark, archived uint64) (Config, error) {
	config.Document, config.Origin = Apart(document)
	if mark == "" {
		return config, nil
	}
	if len(config.Taken) >= Remembered && config.Archived < archived {
		config.Taken = config.Taken[marksPerPage:]
		config.Archived++
	}
	if len(config.Taken) >= 2*Remembered {
		return config, ErrHistoryFull
	}
	config.Taken = append(slices.Clone(config.Taken), mark)
	return config, nil
}

// Archive writes the next page of the history where the configuration that this office
// knows has marks enough for one, and gives how many pages are known to be written.
func (issuer *Office) Archive() uint64 {
	_, config, _ := issuer.Current()
	if len(config.Taken) < Remembered {
		return config.Archived
	}
	page := HistoryPage{Number: config.Archived, Marks: config.Taken[:marksPerPage]}
	err := WritePage(issuer.Keeper, issuer.orderTimeout(), page)
	if err != nil {
		return config.Archived // the configuration bears more of them for a while
	}
	return config.Archived + 1
}

// WritePage writes a page of the history, unless it or a newer one stands there.
func WritePage(keeper *register.Keeper, timeout time.Duration, page HistoryPage) error {
	_, err := keeper.ChangeWithin(historyKey(page.Number), timeout, func(value register.Value) ([]byte, error) {
		var stored HistoryPage
		if value.Serial > 0 {
			if err := json.Unmarshal(value.Data, &stored); err != nil {
				return nil, err
			}
			if stored.Number >= page.Number {
				return nil, ErrSame
			}
		}
		return json.Marshal(page)
	})
	if errors.Is(err, ErrSame) {
		return nil
	}
	return err
}

// Recall tells whether an order is in the history before the configuration, which is one
// that was decided. Errors: ErrForgotten, those of the registers.
func (issuer *Office) Recall(config Config, mark Mark, timeout time.Duration) (bool, error) {
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
		return false, ErrForgotten
	}
	return false, nil
}

// missingPages lists the pages that were not read yet, and forgets those before the first.
func (issuer *Office) missingPages(first, end uint64) (missing []uint64) {
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

// readPages reads pages that a decided configuration names. A page that a newer one
// replaced is left empty.
func (issuer *Office) readPages(numbers []uint64, timeout time.Duration) error {
	keys := make([]string, len(numbers))
	for index, number := range numbers {
		keys[index] = historyKey(number)
	}
	values, err := issuer.Keeper.ReadManyWithin(timeout, keys...)
	if err != nil {
		return err
	}
	issuer.mutex.Lock()
	defer issuer.mutex.Unlock()
	if issuer.pages == nil {
		issuer.pages = map[uint64][]Mark{}
	}
	for index, number := range numbers {
		var page HistoryPage
		if err := json.Unmarshal(values[keys[index]].Data, &page); err != nil {
			return fmt.Errorf("page %d of the history of accepted orders can't be read: %w", number, err)
		}
		if page.Number == number {
			issuer.pages[number] = page.Marks
		}
	}
	return nil
}
