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

// shareTick is the interval at which the quota holder checks for due reports.
const shareTick = 50 * time.Millisecond

// newQuotaHolder returns the holder of this router's shares of the rows' quotas. It does not
// affect rows without a quota.
func newQuotaHolder(common *node.Node) *quota.Holder {
	settings := quota.DefaultSettings()
	settings.MaxRunTime = common.Settings.Router.EngineTimeout
	groups := common.Settings.Store.Groups
	return quota.NewHolder(quota.HolderSettings{
		Settings: settings, Router: common.ID(), Instance: uint64(time.Now().UnixMilli()),
		GroupOf: func(key api.RowKey) api.GroupID { return placement.RowGroup(key, groups) },
	})
}

// reportShares ticks the quota holder until ctx ends.
func (r *Router) reportShares(ctx context.Context) {
	ticker := time.NewTicker(shareTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.admission.Tell(admission.QuotaMessage{Message: quota.Tick{}})
		case <-ctx.Done():
			return
		}
	}
}

// sendShareReport sends a report to the store that leads its group. Failures are not retried,
// since each report is complete.
func (r *Router) sendShareReport(report quota.SendReport) {
	leader, ok := storeclient.Leader(r.node.Nodes(), report.Group)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), quota.DefaultSettings().ShareTTL)
	defer cancel()
	var grant quota.Grant
	path := storeclient.SharesPath(report.Group)
	if err := transport.Call(ctx, r.node.Control, "report shares", leader.Address, path, report.Report, &grant); err != nil {
		r.log.WithError(err).Debug("Share report failed.")
		return
	}
	r.metrics.shareReports.Inc()
	r.admission.Tell(admission.QuotaMessage{Message: quota.GrantReceived{Group: report.Group, Grant: grant}})
}
