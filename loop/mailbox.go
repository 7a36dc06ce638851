package loop

import (
	"sync"
	"time"
)

// mailbox is the Mailbox of a Machine: a list under a mutex and a signal channel. Product
// tasks wait only in the select of its Take.
//
// Invariant: whenever messages is not empty and a task waits, the signal is
// full or a woken taker will refill it.
type mailbox struct {
	machine  *Machine
	signal   chan struct{}
	guard    sync.Mutex
	messages []any
}

func (mailbox *mailbox) Put(message any) {
	mailbox.guard.Lock()
	mailbox.messages = append(mailbox.messages, message)
	mailbox.guard.Unlock()
	mailbox.notify()
}

func (mailbox *mailbox) notify() {
	select {
	case mailbox.signal <- struct{}{}:
	default:
	}
}

func (mailbox *mailbox) pop() (any, bool) {
	mailbox.guard.Lock()
	defer mailbox.guard.Unlock()
	if len(mailbox.messages) == 0 {
		return nil, false
	}
	message := mailbox.messages[0]
	mailbox.messages = mailbox.messages[1:]
	if len(mailbox.messages) > 0 {
		mailbox.notify()
	}
	return message, true
}

func (mailbox *mailbox) Take(timeout time.Duration) (any, bool) {
	if message, ok := mailbox.pop(); ok {
		return message, true
	}
	if timeout <= 0 {
		return nil, false
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case <-mailbox.signal:
			if message, ok := mailbox.pop(); ok {
				return message, true
			}
		case <-timer.C:
			return mailbox.pop()
		case <-mailbox.machine.end:
			return nil, false
		}
	}
}
