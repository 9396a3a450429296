package runner

import (
	"amaranthmill/groupformer"
	"amaranthmill/internal/identifier"
	"amaranthmill/storeclient"
)

// changeOwnKey records a change of this instance's own key. If the key was written anew and its removal was not seen, this
// instance was cut off, and the others may have forgotten it long ago: to the forwarder it leaves and returns, so that it sends
// nothing to cold endpoints until the others count it again. v.mu is held.
func (v *view) changeOwnKey(c storeclient.Change) {
	value := ""
	if !c.Deleted {
		value = string(c.Value)
	}
	if v.ownKey != "" && value != "" && value != v.ownKey {
		delete(v.instances, v.hosted.settings.Instance)
		v.hosted.forwarder.SetInstances(v.listInstances())
	}
	v.ownKey = value
}

// reportCold passes on the remaining cold time that an engine's report states.
func (f *groupFormer) reportCold(r groupformer.Reported) {
	f.hosted.forwarder.ReportCold(identifier.Process{Endpoint: r.ID, Start: r.Endpoint.ProcessStart}, r.Endpoint.Warmup)
}
