package scale

import (
	"context"
	"log/slog"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	listTimeout         = 8 * time.Second // time limit for a list to arrive
	maxListSamples      = 5               // maximum number of fetches of one list
	maxListSamplingTime = 2 * time.Second // after this time no further fetch of the list starts
)

// listFetch is the cost of a complete endpoint list at an ingress.
type listFetch struct {
	keptEndpoints int // endpoints that the ingress kept; zero means that the list did not arrive
	duration      time.Duration
	cpuTime       time.Duration // CPU time of this process
	allocated     uint64        // bytes
}

// addListFigures fetches the complete list from a stand-in through the real client of discovery, and adds the cost. A
// list that does not arrive is not an error, since the measured ingresses load their endpoints without the client.
func (r *Run) addListFigures(ctx context.Context, p *Point, shape fleetShape, backends *backendModel) error {
	settings, err := shape.policySettings(0)
	if err != nil {
		return err
	}
	discovery, err := startStandIn(ctx, r.monitor, roleDiscovery, standInCommand{})
	if err != nil {
		return err
	}
	defer discovery.stop()
	if _, err := discovery.call(standInCommand{Action: actionSetList, Targets: backends.targets()}); err != nil {
		return err
	}
	before, err := discovery.call(standInCommand{Action: actionReport})
	if err != nil {
		return err
	}
	fetches, err := fetchLists(ctx, p, clientConfig{discoveryAddr: discovery.addr, settings: settings})
	if err != nil {
		return err
	}
	after, err := discovery.call(standInCommand{Action: actionReportMemory})
	if err != nil {
		return err
	}
	p.addFigure(roleDiscovery, "state", "MB", toMB(float64(after.Memory)), 1)
	p.addFigureWithoutFit(roleIngress, "list taken", "of 1", float64(min(1, len(fetches))))
	if len(fetches) == 0 {
		return nil
	}
	addFetchFigures(p, fetches)
	count := uint64(len(fetches))
	bytes := float64(after.Discovery.Bytes - before.Discovery.Bytes)
	cpuTime := after.CPUTime - before.CPUTime
	p.addFigure(roleDiscovery, "list: bytes", "MB", toMB(bytes/float64(count)), count)
	p.addFigure(roleDiscovery, "list: processor", "ms", cpuTime.Seconds()*1000/float64(count), count)
	return nil
}

// fetchLists fetches a list several times. If it does not arrive in time, a note of the point gives the reason.
func fetchLists(ctx context.Context, p *Point, config clientConfig) ([]listFetch, error) {
	var fetches []listFetch
	end := time.Now().Add(maxListSamplingTime)
	for len(fetches) < maxListSamples && (len(fetches) == 0 || time.Now().Before(end)) {
		fetchCtx, cancel := context.WithTimeout(ctx, listTimeout)
		fetch, warning := fetchList(fetchCtx, config)
		cancel()
		if fetch.keptEndpoints == 0 {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			p.addNote("list not received within %v: %s", listTimeout, warning)
			break
		}
		fetches = append(fetches, fetch)
	}
	return fetches, nil
}

// addFetchFigures adds the medians of the fetches, which must not be empty.
func addFetchFigures(p *Point, fetches []listFetch) {
	addMedian := func(name, unit string, value func(listFetch) float64) {
		var values []float64
		for _, fetch := range fetches {
			values = append(values, value(fetch))
		}
		slices.Sort(values)
		p.addFigure(roleIngress, "list taken: "+name, unit, values[len(values)/2], uint64(len(fetches)))
	}
	addMedian("processor", "ms", func(fetch listFetch) float64 { return fetch.cpuTime.Seconds() * 1000 })
	addMedian("time", "ms", func(fetch listFetch) float64 { return fetch.duration.Seconds() * 1000 })
	addMedian("allocated", "MB", func(fetch listFetch) float64 { return toMB(float64(fetch.allocated)) })
	p.addFigureWithoutFit(roleIngress, "list taken: held", "backends", float64(fetches[0].keptEndpoints))
}

// fetchList starts the real client and waits for its first complete list. If ctx ends first, the string is the reason:
// the last line that the client logged.
func fetchList(ctx context.Context, config clientConfig) (listFetch, string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var logged lastLogLine
	log := slog.New(slog.NewTextHandler(&logged, &slog.HandlerOptions{ReplaceAttr: dropTimeAndLevel}))
	lists := make(chan endpointUpdate)
	post := func(event clientEvent) {
		if update, ok := event.(endpointUpdate); ok && update.isSnapshot() {
			select {
			case lists <- update:
			case <-ctx.Done():
			}
		}
	}
	clients := newControlClients(config, post, log)
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start, cpuBefore := time.Now(), cpuTime(currentProcess)
	clientsEnded := make(chan struct{})
	go func() { // ends with ctx; fetchList waits for it
		defer close(clientsEnded)
		clients.run(ctx)
	}()
	var fetch listFetch
	select {
	case list := <-lists:
		fetch = listFetch{
			keptEndpoints: list.size(),
			duration:      time.Since(start),
			cpuTime:       cpuTime(currentProcess) - cpuBefore,
		}
		runtime.ReadMemStats(&after)
		fetch.allocated = after.TotalAlloc - before.TotalAlloc
	case <-ctx.Done():
	}
	cancel()
	<-clientsEnded
	return fetch, logged.line()
}

// lastLogLine is a writer that keeps the last line written. It is safe for concurrent use.
type lastLogLine struct {
	mu   sync.Mutex // guards text
	text string
}

func (writer *lastLogLine) Write(p []byte) (int, error) {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	writer.text = strings.TrimSpace(string(p))
	return len(p), nil
}

func (writer *lastLogLine) line() string {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	return writer.text
}

// dropTimeAndLevel is a ReplaceAttr of slog.HandlerOptions: a log line in a note of a point needs no time or level.
func dropTimeAndLevel(_ []string, attr slog.Attr) slog.Attr {
	if attr.Key == slog.TimeKey || attr.Key == slog.LevelKey {
		return slog.Attr{}
	}
	return attr
}
