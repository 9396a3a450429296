// Package targetlister derives the targets of requests from the list of endpoints: the endpoints of
// plain services and the heads of open replica groups, except those that drain. Those in an evacuated failure domain stay targets
// and are marked, so that their running requests go on.
//
// The core, Lister, is deterministic. It follows the changes of the list and returns the targets that
// they change. A changed endpoint costs work for itself and for the members of the groups that it was
// and is in, whatever the length of the list. A draining member other than the head still belongs to
// its group, because the member serves as long as the head has work.
package targetlister
