package model

import "time"

// Settings of an Engine.
type Settings struct {
	MaxSequences int `koanf:"maximum_sequences" validate:"min=1,max=4096"` // running concurrently
	MaxWaiting   int `koanf:"maximum_waiting" validate:"min=1"`
	StepTokens   int `koanf:"step_tokens" validate:"min=16"` // tokens per step: one per decoding sequence, the rest for prefill
	BlockTokens  int `koanf:"block_tokens" validate:"min=1"`
	CacheBlocks  int `koanf:"cache_blocks" validate:"min=16"` // shared by running sequences and cached prefixes

	StepBase     time.Duration `koanf:"step_base" validate:"min=1us"` // fixed cost, for reading the weights
	StepSequence time.Duration `koanf:"step_sequence"`                // per decoding sequence
	StepContext  time.Duration `koanf:"step_context"`                 // per 1000 tokens of context
	StepPrefill  time.Duration `koanf:"step_prefill"`                 // per 1000 tokens of prefill

	ReportLag  time.Duration `koanf:"report_lag"`  // age of load reports
	EventDelay time.Duration `koanf:"event_delay"` // age of cache events
	EventLoss  float64       `koanf:"event_loss" validate:"min=0,max=1"`
	Retention  time.Duration `koanf:"retention"` // time for which ended requests are recorded

	// IgnorePriority injects a fault for tests: requests run in order of arrival.
	IgnorePriority bool `koanf:"ignore_priority"`
}

// DefaultSettings approximates a model of ten billion parameters on one accelerator: 10 ms per step,
// 20,000 prompt tokens per second.
func DefaultSettings() Settings {
	return Settings{
		MaxSequences: 48, MaxWaiting: 4096, StepTokens: 512,
		BlockTokens: 16, CacheBlocks: 8192,
		StepBase: 10 * time.Millisecond, StepSequence: 60 * time.Microsecond,
		StepContext: 40 * time.Microsecond, StepPrefill: 50 * time.Millisecond,
		ReportLag: 200 * time.Millisecond, EventDelay: 300 * time.Millisecond, EventLoss: 0.02,
		Retention: time.Minute,
	}
}

const perThousand = 1000

// StepTime returns the duration of a step with the given number of decoding sequences, tokens of their
// context, and prefill tokens.
func (s Settings) StepTime(decoding, context, prefill int) time.Duration {
	return s.StepBase +
		time.Duration(decoding)*s.StepSequence +
		time.Duration(context)*s.StepContext/perThousand +
		time.Duration(prefill)*s.StepPrefill/perThousand
}
