package controller

import (
	"aspenbarrow/balance"
	"aspenbarrow/internal/discovery"
)

// endpointVersions orders what discovery has told this process and the other processes of its relay.
type endpointVersions struct {
	newest     discovery.ListVersion // of all that discovery has told any process
	lastAnswer discovery.ListVersion // of the last answer to this process or, until there is one, its predecessor's newest
	complete   discovery.ListVersion // of the last full list that discovery has sent this process
	byBackend  map[balance.BackendID]discovery.ListVersion
}

func newEndpointVersions() endpointVersions {
	return endpointVersions{byBackend: map[balance.BackendID]discovery.ListVersion{}}
}

// of returns the version as of which a backend's entry is known; also for a backend that no list has contained.
func (v *endpointVersions) of(id balance.BackendID) discovery.ListVersion {
	return v.byBackend[id].Newer(v.complete)
}

// answered records an answer to this process and returns its version. An epoch begins with the first answer of a new agent,
// and with a version that has gone back. If another process follows a newer agent, the answers of this one's agent stay in
// the earlier epoch.
func (v *endpointVersions) answered(list discovery.EndpointList) discovery.ListVersion {
	answer := discovery.ListVersion{Agent: list.Agent, Epoch: v.newest.Epoch, Version: list.Version}
	last := v.lastAnswer
	switch {
	case v.newest.Told() && v.newest.Agent == list.Agent:
		if last.SameCount(answer) && last.Version > answer.Version {
			answer.Epoch++
		}
	case last.Told() && last.Agent == list.Agent:
		answer.Epoch = last.Epoch
	default:
		answer.Epoch++
	}
	v.lastAnswer = answer
	v.newest = answer.Newer(v.newest)
	if list.Full && !list.Partial {
		v.complete = answer.Newer(v.complete)
	}
	return answer
}

// received records the version of an entry that another process has sent.
func (v *endpointVersions) received(told discovery.ListVersion) { v.newest = told.Newer(v.newest) }

// restored records the newest version of the predecessor's state.
func (v *endpointVersions) restored(newest discovery.ListVersion) {
	v.newest, v.lastAnswer = newest, newest
}

// otherProcessExited makes the answers to this process the newest again if the other process followed another agent. It
// reports whether it did.
func (v *endpointVersions) otherProcessExited() bool {
	if !v.lastAnswer.Told() || v.newest.Agent == v.lastAnswer.Agent {
		return false
	}
	v.lastAnswer = discovery.ListVersion{}
	return true
}

// applied records the version of an applied entry.
func (v *endpointVersions) applied(id balance.BackendID, told discovery.ListVersion) {
	if told.Told() {
		v.byBackend[id] = told.Newer(v.byBackend[id])
	}
}
