package scale

// sweepFactors multiply one dimension at a time.
var sweepFactors = []int{2, 4}

// Sweep gives runs that vary workers, models, tenants, jobs and items of a job
// one at a time from a base, without crashes.
func Sweep(options Options, base Size) []Options {
	options.Size, options.FaultWindow = base, 0
	vary := []func(*Options, int){
		func(o *Options, factor int) { o.Size.Workers *= factor },
		func(o *Options, factor int) { o.Size.Models *= factor },
		func(o *Options, factor int) { o.Size.Tenants *= factor },
		func(o *Options, factor int) { o.Jobs *= factor },
		func(o *Options, factor int) { o.ItemsOfJob *= factor },
	}
	var runs []Options
	for _, change := range vary {
		for _, factor := range sweepFactors {
			varied := options
			change(&varied, factor)
			runs = append(runs, varied)
		}
	}
	return runs
}
