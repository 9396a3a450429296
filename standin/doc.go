// Package standin has stand-ins for what amaranthmill meets: the platform, model
// engines, plain services and callers. They are for trials and tests and never shipped.
package standin
