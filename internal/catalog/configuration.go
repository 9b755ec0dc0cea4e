package catalog

import (
	"context"
	"fmt"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/internal/kv"
)

// Adopt decodes a configuration document from the service or from another process and puts it
// into force if it is newer than the current one. from is the origin for the log. It returns
// an error if the document cannot be decoded.
func (c *Catalog) Adopt(raw []byte, from string) error {
	decoded, err := c.source.DecodeConfiguration(raw)
	if err != nil {
		c.log.WithField("event", "configuration_refused").WithError(err).Error("Rejected a configuration that could not be decoded.")
		return err
	}
	c.adoptMutex.Lock()
	defer c.adoptMutex.Unlock()
	before := int64(0)
	if current := c.configuration.Load(); current != nil {
		if current.Version >= decoded.Version {
			return nil
		}
		before = current.Version
	}
	now := clock.Now()
	c.changedAt.Store(&now)
	c.raw.Store(&raw)
	c.configuration.Store(decoded)
	c.log.WithFields(logrus.Fields{
		"event": "configuration_changed", "version": decoded.Version, "before": before, "routes": len(decoded.Routes),
		"tenants": decoded.TenantCount(), "from": from,
	}).Info("Applied a newer configuration.")
	for _, problem := range decoded.Problems {
		c.log.WithFields(logrus.Fields{"event": "configuration_problem", "version": decoded.Version}).WithError(problem).Error("Part of the configuration was not applied.")
	}
	c.listener.ConfigurationChanged(decoded)
	return nil
}

// Refresh reads the configuration from the service. On success the configuration in force here is at
// least as new as any that was in force in another process when Refresh was called.
func (c *Catalog) Refresh(ctx context.Context) error {
	pair, _, err := c.service.Read(ctx, c.source.ConfigurationPrefix)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	if pair == nil {
		return nil // it was deleted; the last one stays in force
	}
	return c.Adopt(pair.Value, "key-value service")
}

// configurationView adopts configurations from the service.
type configurationView struct{ catalog *Catalog }

// Reset adopts the configuration if the state has one.
func (v *configurationView) Reset(result kv.RangeResult) {
	for _, pair := range result.Pairs {
		v.take(pair)
	}
}

// Apply adopts newer configurations.
func (v *configurationView) Apply(batch kv.Batch) {
	for _, event := range batch.Events {
		if !event.Deleted {
			v.take(event.Pair)
		}
	}
}

func (v *configurationView) take(pair kv.Pair) {
	if pair.Key == v.catalog.source.ConfigurationPrefix {
		_ = v.catalog.Adopt(pair.Value, "key-value service")
	}
}
