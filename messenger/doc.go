// Package messenger exchanges messages between the instances of a hosted system.
//
// There are nine kinds of message, each one small HTTP exchange:
//   - A stall notice says that the requests of a replica group are stalled, so that the instance
//     that forms groups checks the group at once. It goes to all peers if that instance is not known.
//   - A leaving notice says that a process of an endpoint has said in an answer that it leaves. It goes
//     the same way, unless the list shows by then that the endpoint drains, so that the number of
//     notices for a process is at most the number of instances.
//   - A report request asks a few peers, some of them in the endpoint's failure domain, for the report
//     of an endpoint that this instance can't reach.
//   - A check of a connection asks up to two peers whether an endpoint accepts connections from them, before its
//     process counts as ended for this instance: the link of this instance may be at fault.
//   - An update request fetches changes of the store from a peer's replica while this instance
//     can't reach the store.
//   - A watch waits for changes of a peer's replica. Instances that follow another instance
//     rather than the store use it.
//   - A fetch of a value returns a large value of a peer's replica, of which an update or a watch has returned
//     only a reference. It is compressed, with the version that this instance has as dictionary if the peer has
//     that too.
//   - An announcement tells all peers which processes of endpoints ended while they ran a
//     request or a part of its prompt. It is repeated to a peer that does not acknowledge it.
//   - Limits that endpoints name, and cold times that they state in answers, are exchanged between an instance and one peer at a time, each of
//     which learns what the other knows.
//
// An operator lists and lifts quarantines, and lists the endpoints that leave, limits and what an instance reaches, through the
// same address; see Operator.
package messenger
