// Package auditor keeps the audit trail of changes in the platform's key-value service.
package auditor
