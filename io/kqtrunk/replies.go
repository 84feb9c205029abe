package kqtrunk

import (
	"github.com/cockroachdb/errors"

	"kumquatlink/core/kqcall"
)

// Bounds of the replies of a link that have not been sent.
const (
	maxReplies    = 1024
	maxReplyBytes = 64 << 10
)

// reply sends a frame in the background. The reading goroutine replies with it: if it
// waited for the peer to read, and the peer for this end, neither would go on. Beyond
// the bounds it does wait, so that a peer that sends without end is slowed down; a peer
// that takes nothing is closed after writeTimeout.
func (t *trunk) reply(f frame) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for t.failed == nil && !t.hasReplyRoom(len(f.payload)) {
		t.replySent.Wait()
	}
	if t.failed != nil {
		return
	}
	t.replies = append(t.replies, f)
	t.replyBytes += len(f.payload)
	if len(t.replies) == 1 {
		go t.sendReplies()
	}
}

// hasReplyRoom reports whether a reply of that many bytes fits beside the others. One
// alone may be longer. The mutex is held.
func (t *trunk) hasReplyRoom(bytes int) bool {
	return len(t.replies) == 0 || len(t.replies) < maxReplies && t.replyBytes+bytes <= maxReplyBytes
}

// sendReplies sends the replies until none is left or the connection fails. A reply counts
// until it has been sent.
func (t *trunk) sendReplies() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for t.failed == nil && len(t.replies) > 0 {
		f := t.replies[0]
		t.mutex.Unlock()
		if err := t.send(f); err != nil {
			_ = t.fail(errors.Mark(err, ErrLost))
		}
		t.mutex.Lock()
		// The array is used until it is full.
		t.replies[0] = frame{}
		t.replies = t.replies[1:]
		t.replyBytes -= len(f.payload)
		t.replySent.Broadcast()
	}
}

// refuse answers a call of the peer that is not run.
func (t *trunk) refuse(number uint64, cause kqcall.Cause) error {
	head := AnswerHead{End: kqcall.NotRun(cause)}
	payload, _, err := pack(head.forVersion(t.version.Load()), nil)
	if err != nil {
		return err
	}
	t.reply(frame{kind: frameAnswer, number: number, payload: payload})
	return nil
}

// unsentAnswers returns the number of answers among the replies. The mutex is held.
func (t *trunk) unsentAnswers() int {
	count := 0
	for _, f := range t.replies {
		if f.kind == frameAnswer {
			count++
		}
	}
	return count
}
