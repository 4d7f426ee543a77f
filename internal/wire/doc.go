// Package wire converts between the simulator's line protocol and the types of package policy. It decodes lines into events of
// a gateway and the settings object into policy.Settings, and encodes the gateway's actions as lines. All decisions are made
// by package policy. The names of messages, fields and keys are defined by the simulator.
//
// The input consists of batches. A batch is a SYNC line with the time, the lines of its messages, and a YOUR_TURN line. The
// reply to a batch consists of the lines of all actions and a NEXT line.
package wire
