package administrator

import (
	"context"

	"github.com/rs/zerolog"

	"amaranthmill/auditor"
	"amaranthmill/bundler"
	"amaranthmill/internal/identifier"
)

// Role is a permission of an operator. Every operator may read.
type Role string

// The roles.
const (
	RoleReader Role = "reader"
	RoleAuthor Role = "author" // may propose bundles
	RoleSigner Role = "signer" // may sign off bundles of others
)

// Operator is a person or program that may use the API.
type Operator struct {
	Name        string // name under which the operator is the author or signer of a bundle
	Roles       []Role
	TokenDigest string // hexadecimal SHA-256 of the bearer token
}

// Registrar stores proposals and accepts bundles. bundler.Registrar implements it.
type Registrar interface {
	Check(ctx context.Context, content []byte) (*bundler.Bundle, error)
	Propose(ctx context.Context, actor string, content []byte) (*bundler.Bundle, error)
	Proposal(ctx context.Context, v identifier.BundleVersion) ([]byte, error)
	Proposals(ctx context.Context) ([]*bundler.Bundle, error)
	Accepted(ctx context.Context, v identifier.BundleVersion) (*bundler.Document, error)
	SignOff(ctx context.Context, v identifier.BundleVersion, signer string, signature []byte) (*bundler.Document, error)
}

// Trail reads the audit trail. auditor.Trail implements it.
type Trail interface {
	Page(ctx context.Context, number uint64) (auditor.Page, error)
	Last(ctx context.Context) (auditor.Page, error)
}

// Fleet provides this instance's view of the instances, endpoints and groups.
type Fleet interface {
	// Instances returns the status of the entry instances, including this one, from each
	// instance's own report.
	Instances(ctx context.Context) ([]InstanceStatus, error)
	// Endpoints returns the status of the engines and plain services.
	Endpoints(ctx context.Context) ([]EndpointStatus, error)
	// Groups returns the status of the replica groups.
	Groups(ctx context.Context) ([]GroupStatus, error)
}

// Config configures the API. All fields but Logger are required.
type Config struct {
	Operators []Operator
	Store     *bundler.Store
	Registrar Registrar
	Trail     Trail
	Fleet     Fleet
	Logger    zerolog.Logger // the zero value logs nothing
}
