// Package claimer claims the keys of non-idempotent calls so that each runs at most once.
//
// Before a call with an Idempotency-Key goes to an endpoint, its key, scoped by the
// client account, is claimed in the platform's key-value service by a write that
// succeeds only if there is no claim yet. The claim holds the digest of the request and a
// token of the claimant. Only the claimant whose token stands in the claim may dispatch, and
// only once, so that two dispatches of one key need two claims. A claim goes in
// two ways only: its claimant removes it after the call certainly did not run, or it
// lapses after the time in which its key is accepted. No clock decides who dispatches.
//
// A second arrival gets the stored result, or Open while the claimant may still be at
// work. A claim whose claimant has not settled it by its closing time is closed as
// Unknown by the next arrival, with a conditional write; its claimant may put a known
// result in place of Unknown later, but never removes a closed claim. A claimant does not
// dispatch after Granted.SendBefore, which is before the closing time.
//
// Core is the deterministic state machine of all this, and Claimer the process around it.
package claimer
