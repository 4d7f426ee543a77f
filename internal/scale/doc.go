// Package scale measures the cost of an ingress, of discovery and of the counter by the size of the fleet.
//
// Most ingresses of a run are hollow: hundreds of them run in one process, each with the real policy, but with randomly
// drawn requests and modelled backends instead of sockets. There are two kinds of sweeps:
//
//   - On a simulated clock (sweeps of backends and tenants) one ingress at a time handles requests as fast as it can,
//     and its CPU time and memory are measured.
//   - In real time (sweeps of ingresses, changes and a lost zone) a fleet of hollow ingresses has the real clients of
//     discovery and of the counter. Stand-ins for these two services run in processes of their own: the run starts its
//     own program again for each of them and sends it commands as JSON.
//
// The last sweep puts a few processes of the real ingress under the same load as hollow ones, which shows the share of
// the real cost that hollow ingresses account for.
//
// A run keeps to limits of time, memory and processes, and stops all processes that it started, however it ends.
package scale
