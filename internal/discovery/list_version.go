package discovery

// ListVersion orders the answers of discovery that the processes of one relay have received. Versions can be compared only
// within an epoch: each agent counts its own, and counts anew after its restart. The zero value precedes every answer.
type ListVersion struct {
	Agent   string `json:"agent"`   // address of the agent
	Epoch   uint64 `json:"epoch"`   // counts the changes of the agent and its restarts; 0: no answer of discovery
	Version uint64 `json:"version"` // of the list
}

// Told reports whether discovery has answered.
func (v ListVersion) Told() bool { return v.Epoch > 0 }

// SameCount reports whether the versions of both can be compared.
func (v ListVersion) SameCount(other ListVersion) bool {
	return v.Epoch == other.Epoch && v.Agent == other.Agent
}

// Supersedes reports whether what was told with v replaces what was told with other.
func (v ListVersion) Supersedes(other ListVersion) bool {
	if v.SameCount(other) {
		return v.Version >= other.Version
	}
	return v.Epoch > other.Epoch
}

// Newer returns the one of two versions that supersedes the other.
func (v ListVersion) Newer(other ListVersion) ListVersion {
	if v.Supersedes(other) {
		return v
	}
	return other
}
