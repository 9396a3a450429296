// Package linker keeps the sessions between instances: membership, messages and forwarded requests.
package linker
