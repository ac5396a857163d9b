package membership

// Stats counts events since the Memberlist was created.
type Stats struct {
	Probes         uint64 // probes started, those on behalf of other members not included
	FailedProbes   uint64 // probes that ended without an ack, direct or relayed
	IndirectProbes uint64 // ping-reqs sent
	Refutations    uint64 // suspicions or deaths of this relay that it refuted
	Suspicions     uint64 // times that a member became suspect
	Deaths         uint64 // times that a member was marked dead
	Recoveries     uint64 // times that a dead member became alive again
	Stalls         uint64 // times that this process was found to have been stopped

	PacketsSent          uint64
	BytesSent            uint64
	PacketsReceived      uint64 // accepted datagrams; those counted below are not included
	MalformedPackets     uint64 // undecodable datagrams, or from an index that cannot be a sender
	ForeignPackets       uint64 // datagrams of another fleet
	RejectedIncarnations uint64 // incarnations received that no member can have reached
}
