package discovery

import (
	"bytes"
	"errors"
	"io"
	"time"
)

// Bounds on an object, which may be a list of any length.
const (
	maxObjectPart       = 1 << 20 // bytes before, between and behind its entries
	entriesPerExtension = 10_000  // entries that extend the timeout of a call
)

// errObjectTooLong ends a call that brings more than maxObjectPart bytes without a further entry.
var errObjectTooLong = errors.New("an object has too many bytes before, between or behind its entries")

// objectReader reads the body of an answer: JSON objects, which may stand on several lines, and empty lines, the heartbeats,
// between them. An object has to end before the timeout; only entriesPerExtension entries of a long one extend it. Since
// lists have no maximum length, each entry, and what is none, has a bound of its own.
type objectReader struct {
	body           io.Reader
	timeout        *time.Timer   // of the call
	extension      time.Duration // the timeout from the moment at which it is extended
	onHeartbeat    func()        // nil: heartbeats do not count
	inObject       bool
	remainingBytes int // bytes that may come before the next entry
	entryCount     int // so far, in all objects
}

func newObjectReader(body io.Reader, timeout *time.Timer, extension time.Duration) *objectReader {
	return &objectReader{body: body, timeout: timeout, extension: extension}
}

// beginObject is called before each object.
func (r *objectReader) beginObject() {
	r.inObject = false
	r.remainingBytes = maxObjectPart
}

// beginEntry is called before each entry of an object.
func (r *objectReader) beginEntry() {
	r.remainingBytes = maxObjectPart
	r.entryCount++
	if r.entryCount%entriesPerExtension == 0 {
		r.extendTimeout()
	}
}

// extendTimeout restarts the timeout of the call.
func (r *objectReader) extendTimeout() { r.timeout.Reset(r.extension) }

// Read implements io.Reader.
func (r *objectReader) Read(p []byte) (int, error) {
	if r.remainingBytes <= 0 {
		return 0, errObjectTooLong
	}
	n, err := r.body.Read(p[:min(len(p), r.remainingBytes)])
	if !r.inObject && len(bytes.TrimSpace(p[:n])) == 0 {
		if n > 0 && r.onHeartbeat != nil {
			r.onHeartbeat()
		}
		return n, err
	}
	r.inObject = true
	r.remainingBytes -= n
	return n, err
}
