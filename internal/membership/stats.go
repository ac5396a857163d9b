package membership

// Stats counts events since the Memberlist was created.
type Stats struct {
	Probes         uint64 // probes begun, those made for others not included
	FailedProbes   uint64 // probes that ended without an ack, direct or relayed
	IndirectProbes uint64 // ping-reqs sent
	Refutations    uint64 // suspicions or deaths of this relay that it refuted
	Suspicions     uint64 // times that a member became suspect
	Deaths         uint64 // times that a member was marked dead
	Recoveries     uint64 // times that a dead member turned out to be alive
	Stalls         uint64 // times that this process was found to have been stopped

	PacketsSent          uint64
	BytesSent            uint64
	PacketsReceived      uint64 // accepted, so without those counted below
	MalformedPackets     uint64 // undecodable, or from an index that cannot be a sender
	ForeignPackets       uint64 // of another fleet
	RejectedIncarnations uint64 // claims of incarnations that no member can have reached
}
