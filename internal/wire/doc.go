// Package wire is the codec between the simulator's lines and package policy: lines become events of a gateway, its
// actions become lines, and the settings object becomes policy.Settings. It parses and prints only; every decision is in
// package policy. The names of messages, fields and keys are the simulator's.
//
// Input comes in batches: a SYNC line with the time, one line for each message, and a YOUR_TURN line. Each batch is
// answered by the lines of all actions and a NEXT line.
package wire
