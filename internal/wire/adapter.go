package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"lemontack/policy"
)

// gatewayAdapter runs the gateways of a simulation, each of which receives its own events only. It is not safe for concurrent
// use.
type gatewayAdapter struct {
	gateways map[int]*policy.Gateway // gateways by instance number
}

// Serve runs gateways on the batches that it reads from in, and writes their actions to out, until the input ends.
func Serve(in io.Reader, out io.Writer) error {
	adapter := &gatewayAdapter{gateways: map[int]*policy.Gateway{}}
	reader, writer := NewBatchReader(in), bufio.NewWriterSize(out, bufferBytes)
	var reply []byte
	for {
		batch, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply = adapter.appendReply(reply[:0], batch)
		if _, err := writer.Write(reply); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}

// appendReply handles the messages of a batch in their order, and appends their actions and the line that ends the reply.
func (adapter *gatewayAdapter) appendReply(buf []byte, batch *Batch) []byte {
	for _, message := range batch.Messages {
		buf = adapter.appendActions(buf, batch, message)
	}
	return append(buf, "NEXT\n"...)
}

// appendActions handles one message and appends the resulting actions. If package policy panics, the instance is removed and
// its fault is appended in place of the actions for the message.
func (adapter *gatewayAdapter) appendActions(buf []byte, batch *Batch, message Message) (reply []byte) {
	start := len(buf)
	defer func() {
		if panicValue := recover(); panicValue != nil {
			delete(adapter.gateways, message.Instance)
			reply = AppendFault(buf[:start], message.Instance, fmt.Sprint(panicValue))
		}
	}()
	switch {
	case message.Destroyed:
		delete(adapter.gateways, message.Instance)
		return buf
	case message.Start != nil:
		return adapter.startInstance(buf, message.Instance, message.Start)
	}
	gateway := adapter.gateways[message.Instance]
	if gateway == nil {
		return buf
	}
	for _, action := range gateway.Handle(batch.Now, message.Event, nil) {
		buf = AppendAction(buf, message.Instance, action)
	}
	return buf
}

func (adapter *gatewayAdapter) startInstance(buf []byte, instance int, start *InstanceStart) []byte {
	gateway, err := policy.New(*start.Settings, start.Seed)
	if err != nil {
		return AppendFault(buf, instance, err.Error())
	}
	adapter.gateways[instance] = gateway
	return buf
}
