package model

import "time"

// Settings of an Engine.
type Settings struct {
	MaximumSequences int `koanf:"maximum_sequences" validate:"min=1,max=4096"` // running at once
	MaximumWaiting   int `koanf:"maximum_waiting" validate:"min=1"`
	StepTokens       int `koanf:"step_tokens" validate:"min=16"` // tokens in a step: one a decoding sequence, the rest prefill
	BlockTokens      int `koanf:"block_tokens" validate:"min=1"`
	CacheBlocks      int `koanf:"cache_blocks" validate:"min=16"` // for running sequences and cached prefixes together

	StepBase     time.Duration `koanf:"step_base" validate:"min=1us"` // reading the weights once
	StepSequence time.Duration `koanf:"step_sequence"`                // a decoding sequence
	StepContext  time.Duration `koanf:"step_context"`                 // 1000 tokens of context
	StepPrefill  time.Duration `koanf:"step_prefill"`                 // 1000 tokens of prefill

	ReportLag  time.Duration `koanf:"report_lag"`  // age of load reports
	EventDelay time.Duration `koanf:"event_delay"` // age of cache events
	EventLoss  float64       `koanf:"event_loss" validate:"min=0,max=1"`
	Retention  time.Duration `koanf:"retention"` // how long an ended request is remembered

	// IgnorePriority is a planted fault: requests run in order of arrival.
	IgnorePriority bool `koanf:"ignore_priority"`
}

// DefaultSettings are a model of some ten billion parameters on one
// accelerator: 10 ms a step, 20,000 prompt tokens a second.
func DefaultSettings() Settings {
	return Settings{
		MaximumSequences: 48, MaximumWaiting: 4096, StepTokens: 512,
		BlockTokens: 16, CacheBlocks: 8192,
		StepBase: 10 * time.Millisecond, StepSequence: 60 * time.Microsecond,
		StepContext: 40 * time.Microsecond, StepPrefill: 50 * time.Millisecond,
		ReportLag: 200 * time.Millisecond, EventDelay: 300 * time.Millisecond, EventLoss: 0.02,
		Retention: time.Minute,
	}
}

const perThousand = 1000

// StepTime is how long a step takes.
func (s Settings) StepTime(decoding, context, prefill int) time.Duration {
	return s.StepBase +
		time.Duration(decoding)*s.StepSequence +
		time.Duration(context)*s.StepContext/perThousand +
		time.Duration(prefill)*s.StepPrefill/perThousand
}
