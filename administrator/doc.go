// Package administrator serves the administration API over bundles, groups, instances and the audit trail.
package administrator
