package experiment

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dykewing/dykewing/api"
)

// Work is what a request asks of an engine.
type Work struct {
	Service      api.ServiceName
	Blocks       []uint64
	PromptTokens int
	OutputTokens int
}

// arrival is an online request of the trace.
type arrival struct {
	at     time.Duration
	caller int // zone of the caller
	work   Work
}

// Streams of chance that do not depend on one another.
const (
	streamOnline = iota + 1
	streamBatch
	streamFleet
)

func newStream(seed uint64, stream int, part string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(part)+uint64(stream)))
}

// onlineTrace draws a service's online requests; it is the same for all
// strategies.
func onlineTrace(scenario Scenario, service Service, seed uint64) []arrival {
	if service.Online.Rate <= 0 {
		return nil
	}
	random := newStream(seed, streamOnline, string(service.Name))
	drawer := newDrawer(scenario, service, service.Online.Shape, random)
	peak := service.Online.Rate * max(service.Online.Bursts.Factor, 1)
	var trace []arrival
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / peak * float64(time.Second))
		if at >= scenario.Duration {
			return trace
		}
		if random.Float64()*peak >= service.Online.rateAt(at) {
			continue
		}
		trace = append(trace, arrival{at: at, caller: random.IntN(scenario.Fleet.Zones), work: drawer.draw(0)})
	}
}

// rateAt is the rate at a time after the start; a burst ends each interval.
func (o Online) rateAt(at time.Duration) float64 {
	if o.Bursts.Every <= 0 || at%o.Bursts.Every < o.Bursts.Every-o.Bursts.Length {
		return o.Rate
	}
	return o.Rate * o.Bursts.Factor
}

// drawer draws the work of requests of one shape.
type drawer struct {
	service     Service
	shape       Shape
	blockTokens int
	random      *rand.Rand
	salt        uint64
	serial      uint64
}

func newDrawer(scenario Scenario, service Service, shape Shape, random *rand.Rand) *drawer {
	return &drawer{
		service: service, shape: shape, blockTokens: scenario.Engine.BlockTokens,
		random: random, salt: random.Uint64(),
	}
}

// draw gives a request; heap keeps the shared prefixes of batch jobs apart.
func (d *drawer) draw(heap int) Work {
	work := Work{Service: d.service.Name, PromptTokens: 1, OutputTokens: 1}
	if d.service.ApplicationTime > 0 {
		return work
	}
	prefix := 0
	if d.shape.Prefixes > 0 {
		prefix = d.random.IntN(d.shape.Prefixes) + 1
		work.PromptTokens = d.shape.Prefix
	}
	work.PromptTokens = max(work.PromptTokens+d.shape.Prompt.draw(d.random), 1)
	work.OutputTokens = max(d.shape.Output.draw(d.random), 1)
	d.serial++
	work.Blocks = d.blocks(work.PromptTokens, heap, prefix)
	return work
}

func (d *drawer) blocks(prompt, heap, prefix int) []uint64 {
	blocks := make([]uint64, prompt/d.blockTokens)
	shared := d.shape.Prefix / d.blockTokens
	hash := mix(d.salt, uint64(heap), uint64(prefix))
	for i := range blocks {
		if i == shared {
			hash = mix(hash, d.serial, 1)
		}
		hash = mix(hash, uint64(i), 0)
		blocks[i] = hash
	}
	return blocks
}

func mix(a, b, c uint64) uint64 {
	var buffer [24]byte
	binary.LittleEndian.PutUint64(buffer[0:], a)
	binary.LittleEndian.PutUint64(buffer[8:], b)
	binary.LittleEndian.PutUint64(buffer[16:], c)
	return xxhash.Sum64(buffer[:])
}

func (l Length) draw(random *rand.Rand) int {
	tokens := int(float64(l.Median) * math.Exp(l.Sigma*random.NormFloat64()))
	if l.Maximum > 0 {
		tokens = min(tokens, l.Maximum)
	}
	return tokens
}
