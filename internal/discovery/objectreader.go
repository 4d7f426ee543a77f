package discovery

import (
	"bytes"
	"errors"
	"io"
	"time"
)

// Limits on one JSON object, which may have any number of entries.
const (
	maxObjectPart       = 1 << 20 // bytes from the start of the object or of an entry to the next entry or the end
	entriesPerExtension = 10_000  // number of entries after which the timeout of the call is extended
)

// errObjectTooLong ends a call that receives more than maxObjectPart bytes of an object without another entry.
var errObjectTooLong = errors.New("object has too many bytes before, in or after an entry")

// objectReader reads the body of an answer: JSON objects, each on one or several lines, with empty lines between them as
// heartbeats. Each object has to end before the timeout of the call, which is extended after every entriesPerExtension
// entries. Since lists have no maximum length, the size limit applies to each entry and to the parts between entries.
type objectReader struct {
	body           io.Reader
	timeout        *time.Timer   // timeout of the call
	extension      time.Duration // duration to which extendTimeout resets the timeout
	onHeartbeat    func()        // called for each heartbeat unless it is nil
	inObject       bool
	remainingBytes int // bytes that may be read before the next entry starts
	entryCount     int // entries of all objects so far
}

func newObjectReader(body io.Reader, timeout *time.Timer, extension time.Duration) *objectReader {
	return &objectReader{body: body, timeout: timeout, extension: extension}
}

// beginObject has to be called before each object is decoded.
func (r *objectReader) beginObject() {
	r.inObject = false
	r.remainingBytes = maxObjectPart
}

// beginEntry has to be called before each entry is decoded.
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
