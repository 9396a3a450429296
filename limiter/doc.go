// Package limiter admits requests by client account, priority and deadline, and sheds load.
package limiter
