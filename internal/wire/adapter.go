package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"lemontack/policy"
)

// adapter runs the gateways of a simulation, each with its own events only. One goroutine owns it.
type adapter struct {
	gateways map[int]*policy.Gateway // by the number of their instance
}

// Serve runs gateways on the batches that come from in, and writes their actions to out, until the input ends.
func Serve(in io.Reader, out io.Writer) error {
	a := &adapter{gateways: map[int]*policy.Gateway{}}
	r, w := NewBatchReader(in), bufio.NewWriterSize(out, bufferBytes)
	var reply []byte
	for {
		batch, err := r.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply = a.appendReply(reply[:0], batch)
		if _, err := w.Write(reply); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}

// appendReply appends the answer to a batch.
func (a *adapter) appendReply(buf []byte, batch *Batch) []byte {
	for _, message := range batch.Messages {
		buf = a.appendActions(buf, batch, message)
	}
	return append(buf, "NEXT\n"...)
}

// appendActions handles one message and appends the actions. A panic of the module becomes the fault of that instance,
// which ends, with nothing of its other actions.
func (a *adapter) appendActions(buf []byte, batch *Batch, message Message) (reply []byte) {
	start := len(buf)
	defer func() {
		if cause := recover(); cause != nil {
			delete(a.gateways, message.Instance)
			reply = AppendFault(buf[:start], message.Instance, fmt.Sprint(cause))
		}
	}()
	switch {
	case message.Destroyed:
		delete(a.gateways, message.Instance)
		return buf
	case message.Start != nil:
		return a.begin(buf, message.Instance, message.Start)
	}
	gateway := a.gateways[message.Instance]
	if gateway == nil {
		return buf
	}
	for _, action := range gateway.Handle(batch.Now, message.Event, nil) {
		buf = AppendAction(buf, message.Instance, action)
	}
	return buf
}

func (a *adapter) begin(buf []byte, instance int, begin *InstanceStart) []byte {
	gateway, err := policy.New(*begin.Settings, begin.Seed)
	if err != nil {
		return AppendFault(buf, instance, err.Error())
	}
	a.gateways[instance] = gateway
	return buf
}
