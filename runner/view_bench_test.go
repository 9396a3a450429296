package runner

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"amaranthmill/configurer"
	"amaranthmill/resolver"
	"amaranthmill/storeclient"

	"github.com/rs/zerolog"
)

// benchGroupSize is the size of the groups in benchmarks.
const benchGroupSize = 8

// newBenchView returns the view of an instance whose list has n engines, in groups of
// benchGroupSize.
func newBenchView(b *testing.B, n int) *view {
	s := &configurer.HostedSettings{Instance: "entry-1", FailureDomain: "d0"}
	s.Machine.MemoryMB = 419
	h, err := newHosted(s, zerolog.Nop())
	if err != nil {
		b.Fatal(err)
	}
	services := []resolver.Service{{Name: "guides", Engine: &resolver.EngineProfile{Models: []resolver.Model{{Name: "large", GroupSize: benchGroupSize, LoadTime: 16 * time.Second}}}}}
	h.resolver.Set(&resolver.Configuration{Version: 1, Services: services})
	h.groupFormer.setServices(services)
	var changes []storeclient.Change
	for i := range n {
		changes = append(changes, benchEntry(i, 1, "open"))
	}
	h.view.applyFromStore(changes)
	return h.view
}

// benchEntry returns the entry of an engine whose group has an epoch and a state.
func benchEntry(i, epoch int, state string) storeclient.Change {
	rank := i % benchGroupSize
	if rank > 0 {
		state = "ready"
	}
	value, err := json.Marshal(map[string]any{
		"service": "guides", "address": fmt.Sprintf("10.%d.%d.7:9000", i/250, i%250), "zone": fmt.Sprintf("d%d", i%5), "version": "v1", "slots": 14, "state": "ready",
		"coldLeftMs": 0, "sequence": epoch, "born": 1787150514949 + i, "domain": fmt.Sprintf("f%d", i/24), "staged": []string{"large"},
		"models": []map[string]any{{"name": "large", "version": 1, "adapters": []string{}}},
		"group":  map[string]any{"name": fmt.Sprintf("g%d", i/benchGroupSize), "epoch": epoch, "rank": rank, "state": state},
	})
	if err != nil {
		panic(err) // the value is always valid
	}
	return storeclient.Change{Entry: storeclient.Entry{Key: fmt.Sprintf("servers/i-%04d", i), Value: value}}
}

// BenchmarkChange measures what one changed entry of an engine costs an instance that does not
// form groups, from the replica's change to the cores.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{50, 760, 1200} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			v := newBenchView(b, n)
			b.ReportAllocs()
			epoch := 1
			for b.Loop() {
				epoch++
				i := epoch * benchGroupSize % n / benchGroupSize * benchGroupSize
				v.applyFromStore([]storeclient.Change{benchEntry(i, epoch, "open")})
			}
		})
	}
}

// BenchmarkRestart measures what the restart of one engine costs: its entry is removed and written
// with a new ID.
func BenchmarkRestart(b *testing.B) {
	for _, n := range []int{50, 760, 1200} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			v := newBenchView(b, n)
			b.ReportAllocs()
			for b.Loop() {
				c := benchEntry(0, 1, "open")
				v.applyFromStore([]storeclient.Change{{Entry: storeclient.Entry{Key: c.Key}, Deleted: true}})
				v.applyFromStore([]storeclient.Change{c})
			}
		})
	}
}
