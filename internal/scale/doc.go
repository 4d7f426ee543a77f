// Package scale measures what an ingress, discovery and the counter cost by the size of the fleet.
//
// Most ingresses of a run are hollow: hundreds of them run in one process, each with the real decision module, but with
// drawn requests and modelled backends in place of sockets. There are two kinds of sweeps:
//
//   - On a simulated clock (sweeps of backends and tenants) one ingress at a time handles requests as fast as it can,
//     and its processor time and memory are measured.
//   - In real time (sweeps of ingresses, changes and a lost zone) a fleet of hollow ingresses has the real clients of
//     discovery and of the counter, whose stand-ins run in processes of their own. The run starts its own program again
//     for these and passes it commands as JSON.
//
// The last sweep puts a few processes of the real ingress under the same load as hollow ones, which shows what part of
// the real cost the hollow ones have.
//
// A run does not exceed bounds of time, memory and processes, and ends all that it started, in whatever way it ends.
package scale
