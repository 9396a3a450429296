// Package claimer claims the keys of non-idempotent calls so that each call runs at most once.
//
// Before a call with an Idempotency-Key is sent to an endpoint, its key, scoped by the client
// account, is claimed in the platform's key-value store with a write that succeeds only if no
// claim exists. The claim holds the digest of the request and the token of its claimant, the
// instance that wrote it. Only the claimant whose token the claim holds may dispatch the call,
// and only once, so that two dispatches of one key require two claims. A claim is removed in
// two ways only: its claimant removes it after the call certainly did not run, or it expires
// after the time in which its key is accepted. No clock decides who dispatches.
//
// A later call with the same key receives the stored result, or Open while the claimant may
// still be working. If the claimant has not settled the claim by its closing time, the next
// call with the key closes the claim as Unknown with a conditional write. The claimant may
// replace Unknown with a known result later, but never removes a closed claim. A claimant does
// not dispatch after Granted.SendBefore, which is earlier than the closing time.
//
// Core is the deterministic state machine that implements these rules. Claimer is the process
// that drives it.
package claimer
