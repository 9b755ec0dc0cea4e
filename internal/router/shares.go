package router

import (
	"context"
	"time"

	"github.com/dykewing/dykewing/admission"
	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/node"
	"github.com/dykewing/dykewing/internal/storeclient"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/quota"
)

// shareTick is the time between looks at whether a report of shares is due.
const shareTick = 50 * time.Millisecond

// newHolder makes the holder of this router's shares of the rows' ceilings.
// Rows without a ceiling are not touched by it.
func newHolder(common *node.Node) *quota.Holder {
	settings := quota.DefaultSettings()
	settings.MaximumRun = common.Settings.Router.EngineTimeout
	groups := common.Settings.Store.Groups
	return quota.NewHolder(quota.HolderSettings{
		Settings: settings, Router: common.ID(), Instance: uint64(time.Now().UnixMilli()),
		GroupOf: func(key api.RowKey) api.GroupID { return placement.GroupOfRow(key, groups) },
	})
}

// reportShares lets the holder report until ctx ends.
func (r *Router) reportShares(ctx context.Context) {
	ticker := time.NewTicker(shareTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.admission.Tell(admission.Ceiling{Message: quota.Tick{}})
		case <-ctx.Done():
			return
		}
	}
}

// sendShares brings one report to the store that leads the group. What is lost
// is not repeated: the next report says all.
func (r *Router) sendShares(report quota.SendReport) {
	leader, ok := storeclient.Leader(r.node.Nodes(), report.Group)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), quota.DefaultSettings().Lifetime)
	defer cancel()
	var grant quota.Grant
	path := storeclient.SharesPath(report.Group)
	if err := transport.Call(ctx, r.node.Control, "report shares", leader.Address, path, report.Report, &grant); err != nil {
		r.log.WithError(err).Debug("A report of shares was not answered.")
		return
	}
	r.metrics.shareReports.Inc()
	r.admission.Tell(admission.Ceiling{Message: quota.Granted{Group: report.Group, Grant: grant}})
}
