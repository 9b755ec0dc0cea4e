package experiment

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dykewing/dykewing/api"
)

// Work is the engine work of a request.
type Work struct {
	Service      api.ServiceName
	Blocks       []uint64
	PromptTokens int
	OutputTokens int
}

// arrival is an online request in a trace.
type arrival struct {
	at     time.Duration
	caller int // zone index of the caller
	work   Work
}

// Identifiers of independent random streams.
const (
	streamOnline = iota + 1
	streamBatch
	streamFleet
)

func newStream(seed uint64, stream int, part string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(part)+uint64(stream)))
}

// onlineTrace generates a service's online requests by thinning a Poisson
// process. The trace is independent of the strategy.
func onlineTrace(scenario Scenario, service Service, seed uint64) []arrival {
	if service.Online.Rate <= 0 {
		return nil
	}
	random := newStream(seed, streamOnline, string(service.Name))
	generator := newWorkGenerator(scenario, service, service.Online.Shape, random)
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
		trace = append(trace, arrival{at: at, caller: random.IntN(scenario.Fleet.Zones), work: generator.next(0)})
	}
}

// rateAt returns the rate at a time after the start; bursts come at the end of
// each interval.
func (o Online) rateAt(at time.Duration) float64 {
	if o.Bursts.Every <= 0 || at%o.Bursts.Every < o.Bursts.Every-o.Bursts.Length {
		return o.Rate
	}
	return o.Rate * o.Bursts.Factor
}

// workGenerator generates the work of requests of one shape.
type workGenerator struct {
	service     Service
	shape       Shape
	blockTokens int
	random      *rand.Rand
	salt        uint64
	serial      uint64
}

func newWorkGenerator(scenario Scenario, service Service, shape Shape, random *rand.Rand) *workGenerator {
	return &workGenerator{
		service: service, shape: shape, blockTokens: scenario.Engine.BlockTokens,
		random: random, salt: random.Uint64(),
	}
}

// sample generates a request. Requests with different job numbers share no prefix.
func (d *workGenerator) next(job int) Work {
	work := Work{Service: d.service.Name, PromptTokens: 1, OutputTokens: 1}
	if d.service.ApplicationTime > 0 {
		return work
	}
	prefix := 0
	if d.shape.Prefixes > 0 {
		prefix = d.random.IntN(d.shape.Prefixes) + 1
		work.PromptTokens = d.shape.Prefix
	}
	work.PromptTokens = max(work.PromptTokens+d.shape.Prompt.sample(d.random), 1)
	work.OutputTokens = max(d.shape.Output.sample(d.random), 1)
	d.serial++
	work.Blocks = d.blocks(work.PromptTokens, job, prefix)
	return work
}

func (d *workGenerator) blocks(prompt, job, prefix int) []uint64 {
	blocks := make([]uint64, prompt/d.blockTokens)
	shared := d.shape.Prefix / d.blockTokens
	hash := mix(d.salt, uint64(job), uint64(prefix))
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

func (l Length) sample(random *rand.Rand) int {
	tokens := int(float64(l.Median) * math.Exp(l.Sigma*random.NormFloat64()))
	if l.Max > 0 {
		tokens = min(tokens, l.Max)
	}
	return tokens
}
